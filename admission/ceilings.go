package admission

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// ceilingPart is the part of the requests that were known in flight at a replica which is still offered after it rejected another.
	ceilingPart = 0.8
	// restTime is how long a replica that rejected a request is offered none, so that requests that end there
	// are seen before the next one is sent.
	restTime = 50 * time.Millisecond
	// recoveryTime is the time in which the ceiling of a replica rises by all its slots.
	recoveryTime = 2 * time.Second
	// ceilingTTL is the time after which a rejection has no effect.
	ceilingTTL = 2 * recoveryTime
)

// Ceilings bounds what one daemon offers to replicas that rejected requests: they have more in flight than it knows. It is safe for
// concurrent use. Use NewCeilings, and call Prune at intervals.
type Ceilings struct {
	// count is the number of entries of replicas, so that it costs nothing to ask while there is none.
	count    atomic.Int64
	mutex    sync.Mutex
	replicas map[topology.Incarnation]ceiling
}

// ceiling is that of one replica.
type ceiling struct {
	// least is the number of requests in flight up to which the replica is offered more right after the rejection, at the time since.
	least float64
	since time.Time
}

// NewCeilings returns ceilings without a bound.
func NewCeilings() *Ceilings {
	return &Ceilings{replicas: map[topology.Incarnation]ceiling{}}
}

// Rejected records that the replica rejected a request while the given number of others were known to be in flight there.
// It returns true unless the replica has a bound already.
func (ceilings *Ceilings) Rejected(replica topology.Incarnation, inFlight int, now time.Time) bool {
	ceilings.mutex.Lock()
	defer ceilings.mutex.Unlock()
	ceilings.expire(now)
	_, known := ceilings.replicas[replica]
	ceilings.replicas[replica] = ceiling{least: ceilingPart * float64(inFlight), since: now}
	ceilings.count.Store(int64(len(ceilings.replicas)))
	return !known
}

// Prune drops the bounds without effect.
func (ceilings *Ceilings) Prune(now time.Time) {
	ceilings.mutex.Lock()
	defer ceilings.mutex.Unlock()
	ceilings.expire(now)
	ceilings.count.Store(int64(len(ceilings.replicas)))
}

// expire is Prune with the mutex held.
func (ceilings *Ceilings) expire(now time.Time) {
	for replica, ceiling := range ceilings.replicas {
		if now.Sub(ceiling.since) > ceilingTTL {
			delete(ceilings.replicas, replica)
		}
	}
}

// Any reports whether any replica has a bound.
func (ceilings *Ceilings) Any() bool {
	return ceilings.count.Load() > 0
}

// Admits reports whether the replica, with its slots and the given number of requests in flight, may be offered another.
func (ceilings *Ceilings) Admits(replica topology.Incarnation, inFlight, slots int, now time.Time) bool {
	ceilings.mutex.Lock()
	defer ceilings.mutex.Unlock()
	known, ok := ceilings.replicas[replica]
	if !ok {
		return true
	}
	passed := now.Sub(known.since)
	if passed < restTime {
		return false
	}
	if passed > ceilingTTL {
		return true
	}
	return float64(inFlight) < known.least+float64(max(slots, 1))*passed.Seconds()/recoveryTime.Seconds()
}
