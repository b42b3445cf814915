package quarantine

import (
	"sync"
	"time"
)

// reservation is the exclusive right of one daemon to run a suspect on one upstream.
type reservation struct {
	holder string
	until  time.Time
}

// reservationTerm is the lifetime of a reservation that is not released. A suspect that has run for that long is
// not expected to crash its upstream.
const reservationTerm = time.Minute

// Arbiter ensures that at most one daemon runs suspects on an upstream at a time. One daemon of the data centre
// holds the arbiter of an upstream. It is safe for concurrent use. Use NewArbiter.
type Arbiter struct {
	mutex sync.Mutex
	// reserved maps upstreams to their reservations; expired ones are removed.
	reserved map[string]reservation
}

// NewArbiter returns an arbiter without reservations.
func NewArbiter() *Arbiter {
	return &Arbiter{reserved: map[string]reservation{}}
}

// Reserve reserves the upstream for the holder, and returns false if another holder has reserved it. A repeated
// call renews the reservation.
func (arbiter *Arbiter) Reserve(upstream, holder string, now time.Time) bool {
	arbiter.mutex.Lock()
	defer arbiter.mutex.Unlock()
	for name, held := range arbiter.reserved {
		if !held.until.After(now) {
			delete(arbiter.reserved, name)
		}
	}
	if held, ok := arbiter.reserved[upstream]; ok && held.holder != holder {
		return false
	}
	arbiter.reserved[upstream] = reservation{holder: holder, until: now.Add(reservationTerm)}
	return true
}

// Release ends the reservation of the holder, if it has one.
func (arbiter *Arbiter) Release(upstream, holder string) {
	arbiter.mutex.Lock()
	defer arbiter.mutex.Unlock()
	if arbiter.reserved[upstream].holder == holder {
		delete(arbiter.reserved, upstream)
	}
}
