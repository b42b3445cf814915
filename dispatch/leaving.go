package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
)

// recheckAfter is the age from which a reservation is checked again before the request is sent.
const recheckAfter = time.Second

// stillServes reports whether the upstream of an older reservation still accepts work.
func (dispatcher *Dispatcher) stillServes(reservation *reservation) bool {
	if dispatcher.clock.Since(reservation.since) < recheckAfter {
		return true
	}
	leaving, known := reservation.isLeaving()
	return known && !leaving
}

// leavingBound is the time after an upstream was first seen leaving from which it must get no work.
const leavingBound = 3 * time.Second

// assertServes checks the invariant that a leaving upstream gets no work after leavingBound.
func (dispatcher *Dispatcher) assertServes(reservation *reservation) {
	since := dispatcher.router.LeavingSince(reservation.candidate.Upstream)
	bound := since.Add(leavingBound)
	invariant.Check(since.IsZero() || dispatcher.clock.Now().Before(bound), invariant.NoWorkToLeaving, "Upstream", reservation.candidate.Upstream)
}

// leaving reports whether the reserved upstream is leaving.
func (dispatcher *Dispatcher) leaving(reservation *reservation) bool {
	leaving, _ := reservation.isLeaving()
	return leaving
}

// isLeaving reports whether the reserved upstream is leaving, and whether it is still a candidate.
func (reservation *reservation) isLeaving() (leaving, known bool) {
	snapshot, err := reservation.workload.lookup()
	if err != nil {
		return false, false
	}
	found, known := snapshot.find(reservation.candidate.Upstream)
	return found.Leaving, known
}
