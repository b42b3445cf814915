package dispatch

import "github.com/bronzestall/bronzestall/quarantine"

// suspect marks the fingerprint as in flight on the crashed upstream of the place.
func (dispatcher *Dispatcher) suspect(fingerprint uint64, place *place) []quarantine.Suspect {
	crash := quarantine.Crash{Upstream: place.candidate.Upstream, BootID: place.candidate.BootID}
	marked := dispatcher.book.Mark(fingerprint, crash, dispatcher.clock.Now())
	return []quarantine.Suspect{marked}
}
