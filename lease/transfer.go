package lease

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
)

// requestTransfer asks a holder in another data centre to transfer the lease to this daemon. The request is repeated
// every RenewEvery, which shows the holder that this daemon is alive.
func (lease *Lease) requestTransfer(ctx context.Context) error {
	now := lease.clock.Now()
	if !lease.requestedAt.IsZero() && now.Sub(lease.requestedAt) < lease.settings.RenewEvery {
		return nil
	}
	lease.requestedAt = now
	_, err := lease.tables.Commit(ctx, []datastore.Write{{Key: lease.transferRequestKey(), Value: encode(lease.holder)}})
	return trace.Wrap(err)
}

// transferRequested returns the daemon that requests the lease, if it repeated its request within a term. A failed
// read counts as no request.
func (lease *Lease) transferRequested(ctx context.Context) (Holder, bool) {
	row, err := lease.tables.Read(ctx, lease.transferRequestKey())
	if err != nil {
		return Holder{}, false
	}
	var requester Holder
	if err := decode(row, &requester); err != nil {
		return Holder{}, false
	}
	now := lease.clock.Now()
	repeated := lease.requestVersion != 0 && row.Version != lease.requestVersion && now.Sub(lease.requestReadAt) < lease.settings.Term
	if row.Version != lease.requestVersion {
		lease.requestVersion = row.Version
		lease.requestReadAt = now
	}
	return requester, repeated && !lease.remote(requester)
}

// transfer writes the requesting daemon into the row with the next fencing number. The lease counts as lost from the
// start of the call. If the result is unknown, the row names either this process, which then resumes the lease, or
// the other one.
func (lease *Lease) transfer(ctx context.Context, to Holder) error {
	version, fenceVersion := lease.version, lease.fenceVersion
	next := record{Holder: to, Fence: lease.current.Fence + 1}
	lease.setLost(next)
	_, err := lease.tables.Commit(ctx, []datastore.Write{
		{Key: lease.key(), Check: true, IfVersion: version, Value: encode(next)},
		{Key: lease.fenceKey(), Check: true, IfVersion: fenceVersion, Value: encode(fenceRecord{Fence: next.Fence, Holder: to})},
	})
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	return trace.Wrap(err)
}
