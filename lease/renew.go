package lease

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
)

// renew writes the lease row again. A holder in another data centre first checks whether a daemon of the leased data
// centre requests the lease.
func (lease *Lease) renew(ctx context.Context) error {
	if lease.remote(lease.holder) {
		requester, transferRequested := lease.transferRequested(ctx)
		if transferRequested {
			return lease.transfer(ctx, requester)
		}
	}
	next := lease.current
	next.Renewal++
	next.Steps++
	next.Era = lease.version.Era()
	sent := lease.clock.Now()
	versions, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: lease.version, Value: encode(next)},
	})
	switch {
	case err == nil:
		lease.setRenewed(next, versions[0], sent)
		return nil
	case errors.Is(err, datastore.ErrUnavailable):
		return trace.Wrap(err)
	case errors.Is(err, datastore.ErrConflict):
		return lease.readBack(ctx)
	default:
		lease.recordUnclear(sent)
		return lease.readBack(ctx)
	}
}

// setRenewed records a renewal that took effect; its term counts from the given time.
func (lease *Lease) setRenewed(next record, version datastore.Version, sent time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.current = next
	lease.version = version
	lease.until = lease.termEnd(sent)
	lease.unclearSince = time.Time{}
}

// recordUnclear records that the result of a renewal is unknown.
func (lease *Lease) recordUnclear(sent time.Time) {
	if lease.unclearSince.IsZero() {
		lease.unclearSince = sent
	}
}

// readBack resolves a renewal whose result is unknown. The term counts from the first unclear renewal, since any of
// them may be the one that took effect.
func (lease *Lease) readBack(ctx context.Context) error {
	row, err := lease.tables.Read(ctx, lease.key())
	if errors.Is(err, datastore.ErrNotFound) {
		lease.setLost(record{})
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
		lease.setLost(found)
		return nil
	}
	if found.restored(row.Version) {
		return lease.continueRestored(ctx, row, found)
	}
	if row.Version != lease.version && !lease.unclearSince.IsZero() {
		lease.setRenewed(found, row.Version, lease.unclearSince)
	}
	return nil
}

// RefreshFence writes the fence row again with the same number. After it, no transaction that used an older guard and
// whose result is unknown can take effect. It fails with ErrConflict if another process is the holder.
func (lease *Lease) RefreshFence(ctx context.Context) error {
	lease.mutex.Lock()
	version, fence := lease.fenceVersion, lease.current.Fence
	lease.mutex.Unlock()
	versions, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.fenceKey(), Check: true, IfVersion: version, Value: encode(fenceRecord{Fence: fence, Holder: lease.holder})},
	})
	if err == nil {
		lease.setFenceVersion(fence, version, versions[0])
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
	lease.setFenceVersion(fence, version, row.version)
	return nil
}

// setFenceVersion records a new version of the fence row unless the lease changed since the row had the version before.
func (lease *Lease) setFenceVersion(fence uint64, before, after datastore.Version) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	if lease.owned && lease.current.Fence == fence && lease.fenceVersion == before {
		lease.fenceVersion = after
	}
}

// setLost records that another process holds the lease, or none after a release.
func (lease *Lease) setLost(found record) {
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

// Release releases the lease so that a successor can acquire it at once. The lease counts as lost from the start of
// the call, even if the table service is unavailable; in that case it expires.
func (lease *Lease) Release(ctx context.Context) error {
	if _, owned := lease.Owned(); !owned {
		return nil
	}
	last := lease.current
	last.Released = true
	version := lease.version
	lease.setLost(record{})
	_, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: version, Value: encode(last)},
	})
	return trace.Wrap(err)
}
