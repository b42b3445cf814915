package lease

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
)

// watch reads the lease row and takes the lease if its holder gave it up or let it lapse.
func (lease *Lease) watch(ctx context.Context) error {
	row, err := lease.tables.Read(ctx, lease.key())
	if errors.Is(err, datastore.ErrNotFound) {
		return lease.take(ctx, datastore.Row{}, record{})
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
	lease.setLeader(found)
	if found.Holder == lease.holder && !found.Released {
		return lease.resume(ctx, row, found)
	}
	if lease.lapsed(found) || lease.predecessor(found.Holder) {
		return lease.take(ctx, row, found)
	}
	if lease.wantsBack() {
		return lease.wish(ctx)
	}
	return nil
}

func (lease *Lease) setLeader(found record) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.leader = found.Holder
	if found.Released {
		lease.leader = Holder{}
	}
}

// predecessor reports whether the holder was an earlier process on the VM of this daemon.
func (lease *Lease) predecessor(holder Holder) bool {
	return lease.settings.OneProcess && holder.Name == lease.holder.Name && holder.Incarnation != lease.holder.Incarnation
}

// settled returns the holder that counts as the former one for a process on the VM of the found holder: that
// holder, or the VM before it if that lost the lease so lately that what it sent may still arrive.
func (lease *Lease) settled(found record) Holder {
	since := time.Duration(found.Steps) * lease.settings.RenewEvery
	if found.Former == "" || since >= lease.settings.SettleTime {
		return found.Holder
	}
	return Holder{Name: found.Former}
}

func (lease *Lease) setFormer(former Holder) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.former = former
}

// lapsed reports whether the lease may be taken now. Daemons of the data centre go first.
func (lease *Lease) lapsed(found record) bool {
	wait := lease.settings.Term
	if found.Released {
		wait = 0
	}
	if lease.foreign(lease.holder) {
		wait += lease.settings.Term
	}
	stagger := time.Duration(lease.settings.Rank()) * lease.settings.RenewEvery / wishShare
	wait += min(stagger, lease.settings.Term)
	return lease.clock.Since(lease.seenAt) >= wait
}

// take writes this process into the lease row and raises the fencing number. An unclear
// result is settled by the next step, which then finds its own name in the row.
func (lease *Lease) take(ctx context.Context, row datastore.Row, found record) error {
	fence, err := lease.readFence(ctx)
	if err != nil {
		return err
	}
	next := record{Holder: lease.holder, Fence: max(found.Fence, fence.value.Fence) + 1, Former: found.Holder.Name}
	former := found.Holder
	if lease.predecessor(found.Holder) {
		next.Former, next.Steps = found.Former, found.Steps
		former = lease.settled(found)
	}
	lease.setFormer(former)
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
	lease.own(next, versions[0], versions[1], sent)
	return nil
}

// resume renews a lease whose row names this process although it did not know.
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
	lease.own(next, versions[0], fence.version, sent)
	return nil
}

// own notes that the row names this process since a write sent at the given time.
func (lease *Lease) own(current record, version, fenceVersion uint64, sent time.Time) {
	lease.mutex.Lock()
	defer lease.mutex.Unlock()
	lease.owned = true
	lease.current = current
	lease.version = version
	lease.fenceVersion = fenceVersion
	lease.until = lease.end(sent)
	lease.unclearSince = time.Time{}
	lease.wishVersion = 0
	event.LeaseTaken.Log("DataCentre", lease.settings.DataCentre, "Fence", current.Fence)
}

// end returns the end of a term that a write sent at the given time began.
func (lease *Lease) end(sent time.Time) time.Time {
	return sent.Add(lease.settings.Term - lease.settings.Margin)
}

// fenceRow is the fence row as read; version is zero if there is none.
type fenceRow struct {
	value   fenceRecord
	version uint64
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
