package lease

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// wish asks a foreign holder to hand the lease back to this daemon. The wish is repeated each
// RenewEvery, so that the holder can tell a daemon that still lives.
func (lease *Lease) wish(ctx context.Context) error {
	now := lease.clock.Now()
	if !lease.wished.IsZero() && now.Sub(lease.wished) < lease.settings.RenewEvery {
		return nil
	}
	lease.wished = now
	_, err := lease.tables.Commit(ctx, []datastore.Write{{Key: lease.wishKey(), Value: encode(lease.holder)}})
	return trace.Wrap(err)
}

// wanted returns the daemon that wants the lease back if its wish was repeated within a term.
// A failed read means that nobody is known to want it.
func (lease *Lease) wanted(ctx context.Context) (Holder, bool) {
	row, err := lease.tables.Read(ctx, lease.wishKey())
	if err != nil {
		return Holder{}, false
	}
	var wish Holder
	if err := decode(row, &wish); err != nil {
		return Holder{}, false
	}
	now := lease.clock.Now()
	repeated := lease.wishVersion != 0 && row.Version != lease.wishVersion && now.Sub(lease.wishAt) < lease.settings.Term
	if row.Version != lease.wishVersion {
		lease.wishVersion = row.Version
		lease.wishAt = now
	}
	return wish, repeated && !lease.foreign(wish)
}

// handOver writes the daemon that wants the lease into the row with the next fencing number.
// The lease counts as lost from the start of the call. If the result is unclear, the row names
// either this process, which then takes up the lease again, or the other one.
func (lease *Lease) handOver(ctx context.Context, to Holder) error {
	version, fenceVersion := lease.version, lease.fenceVersion
	next := record{Holder: to, Fence: lease.current.Fence + 1}
	lease.lose(next)
	_, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: version, Value: encode(next)},
		{Key: lease.fenceKey(), Check: true, IfVersion: fenceVersion, Value: encode(fenceRecord{Fence: next.Fence, Holder: to})},
	})
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}
