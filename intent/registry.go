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

// SenderTable holds the newest process of each VM. A row is named by the VM and, for a process that decides for
// another data centre, by that data centre.
const SenderTable = "Senders"

// senderRecord is the value of a row of SenderTable.
type senderRecord struct {
	// Sender is the newest process of the VM.
	Sender Sender `json:"Sender"`
	// Ended states that the process sends no more orders.
	Ended bool `json:"Ended,omitempty"`
	// EndedReign is the highest fencing number under which the process sends no more orders. It also
	// sends none under lower ones.
	EndedReign uint64 `json:"EndedReign,omitempty"`
}

// Registry records senders and determines which senders have provably ended. It is not safe for concurrent use.
//
// A sender registers before it writes its first intent, and after it has bound the address of its
// VM, so that another process in the row is proof of a newer one.
type Registry struct {
	tables datastore.Tables
	vms    datastore.VMs
	clock  clock.Clock
	self   Sender
	// lag is the longest delay with which the VM list shows a change.
	lag time.Duration
	// version is the version of this process's row, or zero before Register; endedFence is its EndedReign.
	version    datastore.Version
	endedFence uint64
	// absentSince holds the time since which each VM incarnation has been absent from every list read.
	absentSince map[string]time.Time
}

// NewRegistry returns a registry for the sender. The lag is the longest delay with which the VM list shows a
// change.
func NewRegistry(tables datastore.Tables, vms datastore.VMs, clock clock.Clock, self Sender, lag time.Duration) *Registry {
	return &Registry{tables: tables, vms: vms, clock: clock, self: self, lag: lag, absentSince: map[string]time.Time{}}
}

// Register records this process as the newest of its VM. The write is conditional on the version read,
// so that a delayed write of an older process cannot replace a newer one.
func (registry *Registry) Register(ctx context.Context) error {
	row, found, err := registry.readRecord(ctx, registry.self)
	if err != nil {
		return err
	}
	if found.Sender == registry.self && !found.Ended {
		registry.version = row.Version
		return nil
	}
	versions, err := registry.tables.Commit(ctx, []datastore.Write{{
		Key: senderKey(registry.self), Check: true, IfVersion: row.Version, Value: encode(senderRecord{Sender: registry.self}),
	}})
	if err != nil {
		return trace.Wrap(err)
	}
	registry.version = versions[0]
	return nil
}

// RecordEnd records that this process sends no more orders.
func (registry *Registry) RecordEnd(ctx context.Context) error {
	return registry.writeRecord(ctx, senderRecord{Sender: registry.self, Ended: true, EndedReign: registry.endedFence})
}

// RecordTermEnd records that this process sends no more orders under the fencing number or a lower one. It writes
// nothing if that is already recorded or if Register has not succeeded.
func (registry *Registry) RecordTermEnd(ctx context.Context, fence uint64) error {
	if fence <= registry.endedFence {
		return nil
	}
	if err := registry.writeRecord(ctx, senderRecord{Sender: registry.self, EndedReign: fence}); err != nil {
		return err
	}
	registry.endedFence = fence
	return nil
}

// writeRecord replaces the row of this process. After a failed write it reads the version again, since the result
// may be unclear.
func (registry *Registry) writeRecord(ctx context.Context, record senderRecord) error {
	if registry.version == 0 {
		return nil
	}
	versions, err := registry.tables.Commit(ctx, []datastore.Write{{
		Key: senderKey(registry.self), Check: true, IfVersion: registry.version, Value: encode(record),
	}})
	if err == nil {
		registry.version = versions[0]
		return nil
	}
	if row, found, readErr := registry.readRecord(ctx, registry.self); readErr == nil && found.Sender == registry.self {
		registry.version = row.Version
	}
	return trace.Wrap(err)
}

// EndedSenders returns those of the senders that provably send no more orders. It costs one read for
// each sender and one list of the VMs. A failed read or list proves nothing.
func (registry *Registry) EndedSenders(ctx context.Context, senders []Sender) []Sender {
	var ended []Sender
	listed, trusted := registry.listVMs(ctx)
	for _, sender := range senders {
		if registry.isSuperseded(ctx, sender) || trusted && registry.isMissing(listed, sender) {
			ended = append(ended, sender)
		}
	}
	return ended
}

// isSuperseded reports whether the process has recorded its end or the end of the lease term, or a newer process
// is registered on the VM.
func (registry *Registry) isSuperseded(ctx context.Context, sender Sender) bool {
	row, found, err := registry.readRecord(ctx, sender)
	if err != nil || row.Version == 0 {
		return false
	}
	return found.Ended || found.Sender.Process != sender.Process || found.EndedReign >= sender.Reign
}

// listVMs returns the keys of the listed VMs and whether the list can be trusted: it must contain the VM of this
// process.
func (registry *Registry) listVMs(ctx context.Context) (map[string]bool, bool) {
	vms, err := registry.vms.List(ctx)
	if err != nil {
		return nil, false
	}
	listed := map[string]bool{}
	for _, vm := range vms {
		listed[vmKey(vm.Name, vm.Incarnation)] = true
	}
	return listed, listed[vmKey(registry.self.VM, registry.self.VMIncarnation)]
}

// isMissing reports whether the VM has been absent from every trusted list for longer than the lag.
func (registry *Registry) isMissing(listed map[string]bool, sender Sender) bool {
	if sender.VMIncarnation == "" {
		return false
	}
	key := vmKey(sender.VM, sender.VMIncarnation)
	if listed[key] {
		delete(registry.absentSince, key)
		return false
	}
	since, known := registry.absentSince[key]
	if !known {
		registry.absentSince[key] = registry.clock.Now()
		return false
	}
	return registry.clock.Since(since) > registry.lag
}

func (registry *Registry) readRecord(ctx context.Context, sender Sender) (datastore.Row, senderRecord, error) {
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
