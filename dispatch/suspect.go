package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/quarantine"
)

// reserveRetryDelay is how long a suspect waits before it requests an upstream again that another suspect
// holds.
const reserveRetryDelay = 100 * time.Millisecond

// reserve requests the right to run a suspect on the reserved upstream. Other requests need none.
func (transaction *transaction) reserve(ctx context.Context, reservation *reservation) (release func(), ok bool) {
	suspects := transaction.dispatcher.deps.Suspects
	if suspects == nil || !transaction.isSuspect() {
		return func() {}, true
	}
	return suspects.Reserve(ctx, reservation.candidate.Upstream, transaction.req.ID)
}

// markSuspect marks the fingerprint as in flight on the crashed upstream.
func (dispatcher *Dispatcher) markSuspect(fingerprint uint64, reservation *reservation) []quarantine.Suspect {
	crash := quarantine.Crash{Upstream: reservation.candidate.Upstream, BootID: reservation.candidate.BootID}
	dispatcher.completed.Remove(fingerprint)
	marked := dispatcher.registry.AddCrash(fingerprint, crash, dispatcher.clock.Now())
	return []quarantine.Suspect{marked}
}
