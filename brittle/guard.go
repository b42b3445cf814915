package brittle

import (
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// usedShare is the part of the rejections that a replica bears which daemons may cause: requests that cross a rejection
	// on the way count too.
	usedShare = 0.5
	// minRest is the shortest time after a rejection in which the daemon sends the replica nothing.
	minRest = time.Second
	// maxRest is the longest such time, and minShare the least share of the rejections that it is calculated for.
	maxRest  = time.Minute
	minShare = 0.001
	// maxWaiting bounds the requests of a daemon that may wait at one replica.
	maxWaiting = 1 << 20
	// maxIncarnations bounds the incarnations that a guard knows.
	maxIncarnations = 4096
)

// Guard is what one daemon knows of brittle replicas. It is safe for concurrent use. Use New.
type Guard struct {
	mutex sync.Mutex
	// replicas maps brittle incarnations to their states.
	replicas map[topology.Incarnation]*state
	// daemons is the number of daemons.
	daemons int
	random  *rand.Rand
}

// state is that of one brittle incarnation.
type state struct {
	// bears is the number of rejections in a second that it bears.
	bears float64
	// waiting counts the requests of this daemon that got neither an event nor a rejection yet.
	waiting int
	// restUntil is when the daemon may send again after a rejection.
	restUntil time.Time
}

// New returns a guard that knows no brittle replica.
func New(random *rand.Rand) *Guard {
	return &Guard{replicas: map[topology.Incarnation]*state{}, daemons: 1, random: random}
}

// SetDaemons sets the number of daemons among which the rejections are divided.
func (guard *Guard) SetDaemons(count int) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	guard.daemons = max(count, 1)
}

// Observe records that a response of the incarnation named the number of rejections in a second that it bears. It reports whether
// the incarnation was not known to be brittle.
func (guard *Guard) Observe(incarnation topology.Incarnation, bears float64, now time.Time) bool {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	known, ok := guard.replicas[incarnation]
	if ok {
		known.bears = bears
		return false
	}
	if len(guard.replicas) >= maxIncarnations {
		return false
	}
	known = &state{bears: bears}
	if rest := guard.rest(known); rest > minRest {
		// Otherwise all daemons would be rejected at about the same time.
		known.restUntil = now.Add(time.Duration(guard.random.Float64() * float64(rest)))
	}
	guard.replicas[incarnation] = known
	return true
}

// End records that a response of the incarnation named none, and reports whether it was brittle.
func (guard *Guard) End(incarnation topology.Incarnation) bool {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	_, ok := guard.replicas[incarnation]
	delete(guard.replicas, incarnation)
	return ok
}

// Keep drops the incarnations that are not live.
func (guard *Guard) Keep(live map[topology.Incarnation]bool) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	maps.DeleteFunc(guard.replicas, func(incarnation topology.Incarnation, _ *state) bool { return !live[incarnation] })
}

// Any reports whether a brittle replica is known.
func (guard *Guard) Any() bool {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	return len(guard.replicas) > 0
}

// Available reports whether the daemon may send the incarnation a request now. If not, it returns the time from which that may
// change; zero means when another request begins.
func (guard *Guard) Available(incarnation topology.Incarnation, now time.Time) (time.Time, bool) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	known, ok := guard.replicas[incarnation]
	if !ok {
		return time.Time{}, true
	}
	if known.restUntil.After(now) {
		return known.restUntil, false
	}
	return time.Time{}, known.waiting < guard.maxWaiting(known)
}

// maxWaiting returns how many requests of the daemon may wait at the replica: all of them may be rejected at once. The mutex is
// held.
func (guard *Guard) maxWaiting(known *state) int {
	return int(min(max(guard.share(known), 1), maxWaiting))
}

// share returns the rejections in a second that this daemon may cause. The mutex is held.
func (guard *Guard) share(known *state) float64 {
	return usedShare * known.bears / float64(guard.daemons)
}

// rest returns the time after a rejection. The mutex is held.
func (guard *Guard) rest(known *state) time.Duration {
	share := guard.share(known)
	if share >= 1 {
		return minRest
	}
	return time.Duration(min(float64(minRest)/max(share, minShare), float64(maxRest)))
}

// Sent records that a request is sent to the incarnation, and returns the function that records that it got its first event or ended.
// The function has an effect once; it is nil if the incarnation is not brittle.
func (guard *Guard) Sent(incarnation topology.Incarnation) func() {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	known, ok := guard.replicas[incarnation]
	if !ok {
		return nil
	}
	known.waiting++
	return sync.OnceFunc(func() {
		guard.mutex.Lock()
		defer guard.mutex.Unlock()
		known.waiting--
	})
}

// Rejected records that the incarnation rejected a request for want of room.
func (guard *Guard) Rejected(incarnation topology.Incarnation, now time.Time) {
	guard.mutex.Lock()
	defer guard.mutex.Unlock()
	if known, ok := guard.replicas[incarnation]; ok {
		known.restUntil = now.Add(time.Duration((1 + guard.random.Float64()) * float64(guard.rest(known))))
	}
}
