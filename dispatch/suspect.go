package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/quarantine"
)

// reserveAgain is the time after which a suspect asks again for an upstream that another one holds.
const reserveAgain = 100 * time.Millisecond

// reserve asks for the right to run a suspect on the upstream of the place. Others need none.
func (journey *journey) reserve(ctx context.Context, place *place) (release func(), ok bool) {
	suspects := journey.dispatcher.deps.Suspects
	if suspects == nil || !journey.suspect() {
		return func() {}, true
	}
	return suspects.Reserve(ctx, place.candidate.Upstream, journey.req.ID)
}

// suspect marks the fingerprint as in flight on the crashed upstream of the place.
func (dispatcher *Dispatcher) suspect(fingerprint uint64, place *place) []quarantine.Suspect {
	crash := quarantine.Crash{Upstream: place.candidate.Upstream, BootID: place.candidate.BootID}
	dispatcher.proven.Remove(fingerprint)
	marked := dispatcher.book.AddCrash(fingerprint, crash, dispatcher.clock.Now())
	return []quarantine.Suspect{marked}
}
