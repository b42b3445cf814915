package dispatch

import "time"

// flight is the equal requests of this daemon that run now.
type flight struct {
	// upstream is where the first of them went.
	upstream string
	// since is when the first of them went.
	since time.Time
	// count is at least one.
	count int
}

// holdFor is the time for which equal requests wait for the first of them, if they do not fit beside it.
const holdFor = 2 * time.Second

// fly notes that a request with the fingerprint runs on the upstream. The mutex is held.
func (dispatcher *Dispatcher) fly(fingerprint uint64, upstream string) {
	flight, ok := dispatcher.flying[fingerprint]
	if !ok {
		flight.upstream, flight.since = upstream, dispatcher.clock.Now()
	}
	flight.count++
	dispatcher.flying[fingerprint] = flight
}

// land notes that a request with the fingerprint no longer runs. The mutex is held.
func (dispatcher *Dispatcher) land(fingerprint uint64) {
	flight := dispatcher.flying[fingerprint]
	flight.count--
	if flight.count == 0 {
		delete(dispatcher.flying, fingerprint)
		return
	}
	dispatcher.flying[fingerprint] = flight
}
