package lease

import (
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// Tables of leases. Rows are named after data centres.
const (
	// Table contains the lease rows, written at every renewal.
	Table = "Leases"
	// FenceTable contains the fencing numbers, written when the holder changes.
	FenceTable = "Fences"
	// TransferRequestTable contains the requests of daemons to get the lease of their own data centre.
	TransferRequestTable = "LeaseWishes"
)

// record is the value of a lease row.
type record struct {
	// Holder is the process that holds the lease.
	Holder Holder `json:"Holder"`
	// Fence increases by one at each change of holder.
	Fence uint64 `json:"Fence"`
	// Renewal counts the renewals of one holder.
	Renewal uint64 `json:"Renewal"`
	// Former is the name of the last VM that held the lease before the VM of Holder; empty if there was none.
	Former string `json:"Former,omitempty"`
	// Steps counts the renewals since the lease moved to the VM of Holder, across restarts of its process.
	Steps uint64 `json:"Steps,omitempty"`
	// Released reports whether the holder released the lease.
	Released bool `json:"Released,omitempty"`
	// Era is the era of the store in which the holder wrote the record. A row that is read in a later era is from an older
	// copy of the store: another process may have become the holder since, and the record of that is lost.
	Era uint64 `json:"Era,omitempty"`
}

// fenceRecord is the value of a fence row.
type fenceRecord struct {
	// Fence is the current fencing number.
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
