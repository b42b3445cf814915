package pace

import "time"

const (
	// minWindow is the least number of requests in flight at a replica that recovers, so that its recovery is seen.
	minWindow = 1.0
	// firstShare is the share of its slots that a replica may use first after a start.
	firstShare = 0.25
	// growth is added to the window for each request that began in time, so that a window of one request is one of all slots after a few
	// requests, each of which the replica may reject or fail.
	growth = 1.5
	// rampTime is the time in which a window grows by all slots while nothing goes wrong, also if no request begins because all that the
	// window allows have begun.
	rampTime = 8 * time.Second
	// shrink multiplies the window when requests went wrong.
	shrink = 0.5
	// shrinkInterval is the least time between two decreases. What was sent before the first is reported within it.
	shrinkInterval = time.Second
	// badShare is the share of requests that must have gone wrong for a decrease, and minBad their number for a replica without a window.
	badShare = 0.25
	minBad   = 3.0
	// windowExpiry is how long a window lasts without any request.
	windowExpiry = 30 * time.Second
)

// window bounds the requests in flight at a replica that starts or recovers. The zero value bounds nothing.
type window struct {
	// size is the number of requests; zero if there is no bound.
	size  float64
	cause Cause
	// proven is set once a request began in time since the last decrease, and ramped is when the size last grew with the time.
	proven bool
	ramped time.Time
	// shrunk is when the size was last decreased, and observed when a request last began or went wrong.
	shrunk, observed time.Time
}

// begin bounds the requests of a replica that starts, unless they are bounded already.
func (window *window) begin(slots int, cause Cause, now time.Time) {
	if window.size > 0 {
		return
	}
	window.size = max(firstShare*float64(slots), minWindow)
	window.cause = cause
	window.observed = now
}

// observe changes the size by what came of the latest requests. recent has those of the last seconds as well, and inFlight is the
// number of requests known to be in flight.
func (window *window) observe(latest, recent *Sums, inFlight int, now time.Time) {
	bad := latest.bad(window.size > 0)
	if bad+latest.Good+latest.Late == 0 {
		return
	}
	window.observed = now
	if bad > 0 && window.shrinks(latest, recent) {
		window.decrease(causeOf(recent), inFlight, latest.Slots, now)
		return
	}
	if window.size == 0 {
		return
	}
	if latest.Good > 0 && !window.proven {
		window.proven, window.ramped = true, now
	}
	window.grow(growth*latest.Good, latest.Slots)
}

// grow adds to the size, and ends the window once it allows all slots.
func (window *window) grow(by float64, slots int) {
	window.size += by
	if window.size >= float64(slots) {
		window.end()
	}
}

// shrinks reports whether enough requests went wrong for a decrease.
func (window *window) shrinks(latest, recent *Sums) bool {
	if window.size > 0 {
		bad := latest.bad(true)
		return bad > badShare*(bad+latest.Good)
	}
	bad := recent.bad(false)
	return bad >= minBad && bad > badShare*(bad+recent.Good)
}

// bad returns the number of requests that went wrong. Late ones count beyond those that began in time, and only for a replica that
// starts or recovers: one that is slow gets less for its speed.
func (sums *Sums) bad(paced bool) float64 {
	bad := sums.Rejected + sums.Failed
	if paced {
		bad += max(sums.Late-sums.Good, 0)
	}
	return bad
}

// decrease multiplies the size by shrink, once within shrinkInterval.
func (window *window) decrease(cause Cause, inFlight, slots int, now time.Time) {
	if now.Sub(window.shrunk) < shrinkInterval {
		return
	}
	size := float64(max(slots, 1))
	if window.size > 0 {
		size = min(size, window.size)
	} else if inFlight > 0 {
		size = min(size, float64(inFlight))
	}
	window.size = max(size*shrink, minWindow)
	window.cause, window.shrunk, window.proven = cause, now, false
}

// end removes the bound.
func (window *window) end() {
	window.size, window.cause, window.proven = 0, None, false
}

// advance lets the size grow with the time, and removes the bound if the replica had no request for long.
func (window *window) advance(slots int, now time.Time) {
	switch {
	case window.size == 0:
	case now.Sub(window.observed) > windowExpiry:
		window.end()
	case window.proven:
		passed := now.Sub(window.ramped)
		window.ramped = now
		window.grow(float64(slots)*float64(passed)/float64(rampTime), slots)
	}
}

// causeOf returns what most requests that went wrong met.
func causeOf(sums *Sums) Cause {
	switch {
	case sums.Failed >= sums.Rejected && sums.Failed >= sums.Late:
		return Failing
	case sums.Rejected >= sums.Late:
		return Rejecting
	default:
		return Slow
	}
}
