package dispatch

import "time"

// duplicates is a group of equal requests that run on this daemon.
type duplicates struct {
	// upstream is the upstream of the first of them.
	upstream string
	// since is when the first of them started.
	since time.Time
	// count is the number of requests, at least one.
	count int
}

// duplicateWait is how long an equal request waits for a slot of the upstream of the first one before it may
// use another upstream.
const duplicateWait = 2 * time.Second

// addDuplicate counts a request with the fingerprint that starts on the upstream. The mutex must be held.
func (dispatcher *Dispatcher) addDuplicate(fingerprint uint64, upstream string) {
	duplicates, ok := dispatcher.inFlight[fingerprint]
	if !ok {
		duplicates.upstream, duplicates.since = upstream, dispatcher.clock.Now()
	}
	duplicates.count++
	dispatcher.inFlight[fingerprint] = duplicates
}

// removeDuplicate counts a request with the fingerprint that ended. The mutex must be held.
func (dispatcher *Dispatcher) removeDuplicate(fingerprint uint64) {
	duplicates := dispatcher.inFlight[fingerprint]
	duplicates.count--
	if duplicates.count == 0 {
		delete(dispatcher.inFlight, fingerprint)
		return
	}
	dispatcher.inFlight[fingerprint] = duplicates
}
