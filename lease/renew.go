package lease

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
)

// renew writes the lease row again. A foreign holder first looks whether a daemon of the
// data centre wants the lease back.
func (lease *Lease) renew(ctx context.Context) error {
	if lease.foreign(lease.holder) {
		wish, wanted := lease.wanted(ctx)
		if wanted {
			return lease.handOver(ctx, wish)
		}
	}
	next := lease.current
	next.Renewal++
	next.Steps++
	sent := lease.clock.Now()
	versions, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: lease.version, Value: encode(next)},
	})
	switch {
	case err == nil:
		lease.renewed(next, versions[0], sent)
		return nil
	case errors.Is(err, datastore.ErrUnavailable):
		return trace.Wrap(err)
	case errors.Is(err, datastore.ErrConflict):
		return lease.readBack(ctx)
	default:
		lease.noteUnclear(sent)
		return lease.readBack(ctx)
	}
}

func (lease *Lease) renewed(next record, version uint64, sent time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.current = next
	lease.version = version
	lease.until = lease.end(sent)
	lease.unclearSince = time.Time{}
}

func (lease *Lease) noteUnclear(sent time.Time) {
	if lease.unclearSince.IsZero() {
		lease.unclearSince = sent
	}
}

// readBack settles a renewal without a known result. The term counts from the first unclear
// renewal, since any of them may be the one that took effect.
func (lease *Lease) readBack(ctx context.Context) error {
	row, err := lease.tables.Read(ctx, lease.key())
	if errors.Is(err, datastore.ErrNotFound) {
		lease.lose(record{})
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	var found record
	if err := decode(row, &found); err != nil {
		return err
	}
	if found.Holder != lease.holder || found.Fence != lease.current.Fence || found.Released {
		lease.lose(found)
		return nil
	}
	if row.Version != lease.version && !lease.unclearSince.IsZero() {
		lease.renewed(found, row.Version, lease.unclearSince)
	}
	return nil
}

// RefreshFence writes the fence row again with the same number. Transactions under an older guard,
// whose answers were lost, can take no effect after it. It fails with ErrConflict if another
// process became the holder.
func (lease *Lease) RefreshFence(ctx context.Context) error {
	lease.mutex.Lock()
	version, fence := lease.fenceVersion, lease.current.Fence
	lease.mutex.Unlock()
	versions, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.fenceKey(), Check: true, IfVersion: version, Value: encode(fenceRecord{Fence: fence, Holder: lease.holder})},
	})
	if err == nil {
		lease.refreshed(fence, version, versions[0])
		return nil
	}
	if errors.Is(err, datastore.ErrUnavailable) {
		return trace.Wrap(err)
	}
	row, readErr := lease.readFence(ctx)
	if readErr != nil {
		return readErr
	}
	if row.value.Fence != fence || row.value.Holder != lease.holder || row.version == version {
		return trace.Wrap(err)
	}
	lease.refreshed(fence, version, row.version)
	return nil
}

func (lease *Lease) refreshed(fence, before, after uint64) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.owned && lease.current.Fence == fence && lease.fenceVersion == before {
		lease.fenceVersion = after
	}
}

// lose notes that another process holds the lease, or nobody after a release.
func (lease *Lease) lose(found record) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.owned = false
	lease.until = time.Time{}
	lease.leader = found.Holder
	lease.seen = datastore.Row{}
	lease.unclearSince = time.Time{}
	if found.Holder == (Holder{}) {
		event.LeaseReleased.Log("DataCentre", lease.settings.DataCentre, "Fence", lease.current.Fence)
		return
	}
	event.LeaseLost.Log("DataCentre", lease.settings.DataCentre, "Fence", lease.current.Fence, "Holder", found.Holder.Name)
}

// Release gives the lease up so that a successor takes it at once. The lease counts as lost
// from the start of the call, also if the table service is away; then it lapses.
func (lease *Lease) Release(ctx context.Context) error {
	if _, owned := lease.Owned(); !owned {
		return nil
	}
	last := lease.current
	last.Released = true
	version := lease.version
	lease.lose(record{})
	_, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: version, Value: encode(last)},
	})
	return trace.Wrap(err)
}
