package quarantine

import (
	"sync"
	"time"
)

// reservation is the right of one daemon to run one suspect on one upstream.
type reservation struct {
	holder string
	until  time.Time
}

// reservationTerm bounds a reservation whose holder does not release it. A suspect that ran for so long
// is not expected to crash its upstream.
const reservationTerm = time.Minute

// Arbiter keeps suspects of all daemons alone on their upstreams. One daemon of the data centre holds the
// Arbiter of an upstream. It is safe for concurrent use.
type Arbiter struct {
	mutex sync.Mutex
	// reserved holds a reservation for each upstream; those that are over are dropped.
	reserved map[string]reservation
}

// NewArbiter returns an arbiter without reservations.
func NewArbiter() *Arbiter {
	return &Arbiter{reserved: map[string]reservation{}}
}

// Reserve gives the holder the right to run one suspect on the upstream, and reports false if another
// holder has it. A holder that asks again gets it again.
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

// Release ends the reservation of the holder.
func (arbiter *Arbiter) Release(upstream, holder string) {
	arbiter.mutex.Lock()
	defer arbiter.mutex.Unlock()
	if arbiter.reserved[upstream].holder == holder {
		delete(arbiter.reserved, upstream)
	}
}
