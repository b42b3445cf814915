package intent

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
)

// SenderTable holds for each VM the newest process, in rows named after VMs.
const SenderTable = "Senders"

// senderRecord is the value of a row of SenderTable.
type senderRecord struct {
	// Sender is the newest process of the VM.
	Sender Sender `json:"Sender"`
	// Ended states that the process sends no more orders.
	Ended bool `json:"Ended,omitempty"`
	// EndedReign is the highest fencing number under which the process sends no more orders; all
	// lower ones are ended, too.
	EndedReign uint64 `json:"EndedReign,omitempty"`
}

// Registry records senders and proves that senders are gone. It belongs to one goroutine.
//
// A sender registers before it writes its first intent, after it has bound the address of its
// VM, so that another process in the row is proof of a newer one.
type Registry struct {
	tables datastore.Tables
	vms    datastore.VMs
	clock  clock.Clock
	me     Sender
	// lag bounds how late the VM list is.
	lag time.Duration
	// version is the version of the own row once it is written, and ended what it says of reigns.
	version uint64
	ended   uint64
	// absent tells since when each VM incarnation has been absent from every list read.
	absent map[string]time.Time
}

// NewRegistry returns a registry for the sender. The lag bounds how late the VM list is.
func NewRegistry(tables datastore.Tables, vms datastore.VMs, clock clock.Clock, me Sender, lag time.Duration) *Registry {
	return &Registry{tables: tables, vms: vms, clock: clock, me: me, lag: lag, absent: map[string]time.Time{}}
}

// Register records this process as the newest of its VM. The write depends on the version read,
// so that a late write of an older process cannot replace a newer one.
func (registry *Registry) Register(ctx context.Context) error {
	row, found, err := registry.read(ctx, registry.me)
	if err != nil {
		return err
	}
	if found.Sender == registry.me && !found.Ended {
		registry.version = row.Version
		return nil
	}
	versions, err := registry.tables.Commit(ctx, []datastore.Write{{
		Key: senderKey(registry.me), Check: true, IfVersion: row.Version, Value: encode(senderRecord{Sender: registry.me}),
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	registry.version = versions[0]
	return nil
}

// RecordEnd records that this process sends no more orders.
func (registry *Registry) RecordEnd(ctx context.Context) error {
	return registry.write(ctx, senderRecord{Sender: registry.me, Ended: true, EndedReign: registry.ended})
}

// EndReign records that this process sends no more orders under the fencing number or a lower one.
func (registry *Registry) RecordTermEnd(ctx context.Context, fence uint64) error {
	if fence <= registry.ended {
		return nil
	}
	if err := registry.write(ctx, senderRecord{Sender: registry.me, EndedReign: fence}); err != nil {
		return err
	}
	registry.ended = fence
	return nil
}

// write replaces the own row. After an unclear write the version is read again.
func (registry *Registry) write(ctx context.Context, record senderRecord) error {
	if registry.version == 0 {
		return nil
	}
	versions, err := registry.tables.Commit(ctx, []datastore.Write{{
		Key: senderKey(registry.me), Check: true, IfVersion: registry.version, Value: encode(record),
	}})
	if err == nil {
		registry.version = versions[0]
		return nil
	}
	if row, found, readErr := registry.read(ctx, registry.me); readErr == nil && found.Sender == registry.me {
		registry.version = row.Version
	}
	return trace.Wrap(err)
}

// Gone returns those of the senders that provably send no more orders. It makes one read for
// each sender and lists the VMs once. What cannot be asked is not proved.
func (registry *Registry) EndedSenders(ctx context.Context, senders []Sender) []Sender {
	var gone []Sender
	listed, trusted := registry.list(ctx)
	for _, sender := range senders {
		if registry.replaced(ctx, sender) || trusted && registry.missing(listed, sender) {
			gone = append(gone, sender)
		}
	}
	return gone
}

// replaced reports whether the process recorded its end, or that of the reign, or a newer one
// runs on the VM.
func (registry *Registry) replaced(ctx context.Context, sender Sender) bool {
	row, found, err := registry.read(ctx, sender)
	if err != nil || row.Version == 0 {
		return false
	}
	return found.Ended || found.Sender.Process != sender.Process || found.EndedReign >= sender.Reign
}

// list returns the incarnations of listed VMs. A list without this process's own VM is not trusted.
func (registry *Registry) list(ctx context.Context) (map[string]bool, bool) {
	vms, err := registry.vms.List(ctx)
	if err != nil {
		return nil, false
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vmKey(vm.Name, vm.Incarnation)] = true
	}
	return listed, listed[vmKey(registry.me.VM, registry.me.VMIncarnation)]
}

// missing reports whether the VM was absent from every trusted list for longer than the lag.
func (registry *Registry) missing(listed map[string]bool, sender Sender) bool {
	if sender.VMIncarnation == "" {
		return false
	}
	key := vmKey(sender.VM, sender.VMIncarnation)
	if listed[key] {
		delete(registry.absent, key)
		return false
	}
	since, known := registry.absent[key]
	if !known {
		registry.absent[key] = registry.clock.Now()
		return false
	}
	return registry.clock.Since(since) > registry.lag
}

func (registry *Registry) read(ctx context.Context, sender Sender) (datastore.Row, senderRecord, error) {
	row, err := registry.tables.Read(ctx, senderKey(sender))
	if errors.Is(err, datastore.ErrNotFound) {
		return datastore.Row{}, senderRecord{}, nil
	}
	if err != nil {
		return datastore.Row{}, senderRecord{}, trace.Wrap(err)
	}
	var found senderRecord
	err = json.Unmarshal(row.Value, &found)
	return row, found, trace.Wrap(err)
}

func senderKey(sender Sender) datastore.Key {
	row := sender.VM
	if sender.DataCentre != "" {
		row += "/" + sender.DataCentre
	}
	return datastore.Key{Table: SenderTable, Row: row}
}

func vmKey(name, incarnation string) string {
	return name + "\x00" + incarnation
}
