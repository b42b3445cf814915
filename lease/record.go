package lease

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// The tables of leases. Rows are named after data centres.
const (
	// Table holds the lease rows, written at every renewal.
	Table = "Leases"
	// FenceTable holds the fencing numbers, written when the holder changes.
	FenceTable = "Fences"
	// TransferRequestTable holds the wishes of daemons of the data centre to get the lease back.
	TransferRequestTable = "LeaseWishes"
)

// record is the value of a lease row.
type record struct {
	// Holder is the process that holds the lease.
	Holder Holder `json:"Holder"`
	// Fence rises by one at each change of holder.
	Fence uint64 `json:"Fence"`
	// Renewal counts the renewals of one holder.
	Renewal uint64 `json:"Renewal"`
	// Former is the name of the last VM that held the lease before that of Holder; empty if there was none.
	Former string `json:"Former,omitempty"`
	// Steps counts the renewals since the VM of the holder changed, over restarts of its process.
	Steps uint64 `json:"Steps,omitempty"`
	// Released states that the holder gave the lease up.
	Released bool `json:"Released,omitempty"`
}

// fenceRecord is the value of a fence row.
type fenceRecord struct {
	// Fence is the fencing number in force.
	Fence uint64 `json:"Fence"`
	// Holder is the process that holds the lease.
	Holder Holder `json:"Holder"`
}

func encode(value any) []byte {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return content
}

func decode(row datastore.Row, value any) error {
	return trace.Wrap(json.Unmarshal(row.Value, value), "row %s of table %s", row.Row, row.Table)
}
