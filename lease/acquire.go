package lease

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
)

// tryAcquire reads the lease row, and acquires the lease if its holder released it or let it expire.
func (lease *Lease) tryAcquire(ctx context.Context) error {
	row, err := lease.tables.Read(ctx, lease.key())
	if errors.Is(err, datastore.ErrNotFound) {
		return lease.acquireAbsent(ctx)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	var found record
	if err := decode(row, &found); err != nil {
		return err
	}
	if row.Version != lease.seen.Version {
		lease.seen = row
		lease.seenAt = lease.clock.Now()
	}
	lease.absentSince = time.Time{}
	restored := found.restored(row.Version)
	if restored {
		found.Released = false
	}
	lease.observeFence(found.Fence)
	lease.setLeader(found)
	if found.Holder == lease.holder && !found.Released && !restored {
		return lease.resume(ctx, row, found)
	}
	if lease.mayAcquire(found) || (lease.heldByEarlierProcess(found.Holder) && !restored) {
		return lease.acquire(ctx, row, found)
	}
	if lease.heldByRemote() {
		return lease.requestTransfer(ctx)
	}
	return nil
}

// observeFence keeps the highest fencing number seen.
func (lease *Lease) observeFence(fence uint64) {
	lease.highestFence = max(lease.highestFence, fence)
}

// setLeader records the holder as read; a released lease has none.
func (lease *Lease) setLeader(found record) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.leader = found.Holder
	if found.Released {
		lease.leader = Holder{}
	}
}

// heldByEarlierProcess reports whether the holder was an earlier process on the VM of this daemon.
func (lease *Lease) heldByEarlierProcess(holder Holder) bool {
	return lease.settings.OneProcess && holder.Name == lease.holder.Name && holder.Incarnation != lease.holder.Incarnation
}

// effectiveFormer returns the former holder for a process on the VM of the found holder: the found holder itself, or
// the VM before it if that VM lost the lease so recently that its messages may still arrive.
func (lease *Lease) effectiveFormer(found record) Holder {
	since := time.Duration(found.Steps) * lease.settings.RenewEvery
	if found.Former == "" || since >= lease.settings.SettleTime {
		return found.Holder
	}
	return Holder{Name: found.Former}
}

func (lease *Lease) setFormer(former Holder, ended time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.former = former
	lease.formerEnded = ended
}

// endOf returns the time by which the right of the holder in the record had ended, if it was the former one: a term after its last
// renewal was read, or when its release was. It is zero for any other.
func (lease *Lease) endOf(found record, former Holder) time.Time {
	switch {
	case former != found.Holder || found.Holder == (Holder{}) || lease.heldByEarlierProcess(found.Holder):
		return time.Time{}
	case found.Released:
		return lease.seenAt
	default:
		return lease.seenAt.Add(lease.settings.Term)
	}
}

// mayAcquire reports whether the lease may be acquired now. Daemons of the leased data centre have precedence.
func (lease *Lease) mayAcquire(found record) bool {
	wait := lease.settings.Term
	if found.Released {
		wait = 0
	}
	if lease.remote(lease.holder) {
		wait += lease.settings.Term
	}
	stagger := time.Duration(lease.settings.Rank()) * lease.settings.RenewEvery / pollDivisor
	wait += min(stagger, lease.settings.Term)
	return lease.clock.Since(lease.seenAt) >= wait
}

// acquire writes this process into the lease row and increases the fencing number. If the result is unknown, the next
// step finds this process in the row and resumes the lease.
func (lease *Lease) acquire(ctx context.Context, row datastore.Row, found record) error {
	fence, err := lease.readFence(ctx)
	if err != nil {
		return err
	}
	former := found.former(row.Version)
	next := record{
		Holder: lease.holder,
		Fence:  max(found.Fence, found.minFence(row.Version), fence.value.Fence, lease.highestFence) + 1,
		Former: former.Name,
		Era:    lease.eraOf(row.Version, fence.version),
	}
	if lease.heldByEarlierProcess(former) {
		next.Former, next.Steps = found.Former, found.Steps
		former = lease.effectiveFormer(found)
	}
	lease.setFormer(former, lease.endOf(found, former))
	sent := lease.clock.Now()
	versions, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: row.Version, Value: encode(next)},
		{Key: lease.fenceKey(), Check: true, IfVersion: fence.version, Value: encode(fenceRecord{Fence: next.Fence, Holder: lease.holder})},
	})
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	lease.setOwned(next, versions[0], versions[1], sent)
	return nil
}

// resume renews a lease whose row names this process after an acquisition or transfer with an unknown result.
func (lease *Lease) resume(ctx context.Context, row datastore.Row, found record) error {
	fence, err := lease.readFence(ctx)
	if err != nil {
		return err
	}
	if fence.value.Holder != lease.holder || fence.value.Fence != found.Fence {
		return nil
	}
	next := found
	next.Renewal++
	next.Steps++
	next.Era = row.Version.Era()
	sent := lease.clock.Now()
	versions, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: row.Version, Value: encode(next)},
	})
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	if err != nil {
		return trace.Wrap(err)
	}
	lease.setOwned(next, versions[0], fence.version, sent)
	return nil
}

// setOwned records that the row names this process since a write that was sent at the given time.
func (lease *Lease) setOwned(current record, version, fenceVersion datastore.Version, sent time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.owned = true
	lease.current = current
	lease.version = version
	lease.fenceVersion = fenceVersion
	lease.until = lease.termEnd(sent)
	lease.unclearSince = time.Time{}
	lease.requestVersion = 0
	lease.observeFence(current.Fence)
	event.LeaseTaken.Log("DataCentre", lease.settings.DataCentre, "Fence", current.Fence)
}

// termEnd returns the end of a term that began with a write sent at the given time.
func (lease *Lease) termEnd(sent time.Time) time.Time {
	return sent.Add(lease.settings.Term - lease.settings.Margin)
}

// fenceRow is the fence row as read; version is zero if the row does not exist.
type fenceRow struct {
	value   fenceRecord
	version datastore.Version
}

func (lease *Lease) readFence(ctx context.Context) (fenceRow, error) {
	row, err := lease.tables.Read(ctx, lease.fenceKey())
	if errors.Is(err, datastore.ErrNotFound) {
		return fenceRow{}, nil
	}
	if err != nil {
		return fenceRow{}, trace.Wrap(err)
	}
	fence := fenceRow{version: row.Version}
	return fence, decode(row, &fence.value)
}
