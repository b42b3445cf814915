package demand

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/internal/decay"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// HalfLife is the time in which the weight of an arrival in the rates halves.
	HalfLife = 1500 * time.Millisecond
	// recentHalfLife is that of the rate from which a rise is told.
	recentHalfLife = 500 * time.Millisecond
)

// Key identifies a model of a service, or one of its adapters.
type Key struct {
	// Service is the name of the service.
	Service string
	// Model is the name of the model, and Adapter that of its adapter. An empty Adapter means the model itself.
	Model, Adapter string
}

// ReplicaKey identifies a model or adapter on one replica.
type ReplicaKey struct {
	topology.Incarnation
	Key
}

// KeyDemand is the demand of one daemon for one key.
type KeyDemand struct {
	Key
	// Waiting is the number of waiting requests, and Oldest the arrival of the first of them; zero if none waits.
	Waiting int
	Oldest  time.Time
	// Rate is the number of arrivals per second, and Tokens that of their prompt tokens.
	Rate, Tokens float64
	// Rise is the number of arrivals per second over a shorter time, minus Rate; negative if they fall.
	Rise float64
	// Refused is the number of requests per second that were refused for want of capacity, by replicas or daemons. They are counted in Rate too.
	Refused float64
	// Target is the shortest time to the first event that callers expect; zero if unknown.
	Target time.Duration
	// LastArrival is when the last request arrived.
	LastArrival time.Time
}

// Counter counts the requests of one daemon by key. It is safe for concurrent use. Use New.
type Counter struct {
	mutex sync.Mutex
	keys  map[Key]*keyState
	// inFlight maps replica keys to their requests in flight; zero counts are removed.
	inFlight map[ReplicaKey]InFlight
}

type keyState struct {
	// arrivals lists the arrivals of the waiting requests in the order in which they began to wait.
	arrivals []time.Time
	// rate is the decayed count of arrivals as of lastArrival, and tokens that of their prompt tokens.
	rate, tokens float64
	// recent is the count of arrivals as of lastArrival, decayed with recentHalfLife.
	recent      float64
	lastArrival time.Time
	target      time.Duration
	// refused is the decayed count of refused requests as of lastRefused.
	refused     float64
	lastRefused time.Time
}

// New returns a counter without requests.
func New() *Counter {
	return &Counter{keys: map[Key]*keyState{}, inFlight: map[ReplicaKey]InFlight{}}
}

// AddArrival counts a request with the given number of prompt tokens. target is the time to the first event that
// its caller expects; zero if unknown.
func (counter *Counter) AddArrival(key Key, tokens int, target time.Duration, now time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	known := counter.state(key)
	passed := now.Sub(known.lastArrival)
	known.rate = known.rate*decay.Weight(passed, HalfLife) + 1
	known.recent = known.recent*decay.Weight(passed, recentHalfLife) + 1
	known.tokens = known.tokens*decay.Weight(passed, HalfLife) + float64(tokens)
	known.lastArrival = now
	if target > 0 && (known.target == 0 || target < known.target) {
		known.target = target
	}
}

// AddRefused counts a request that was refused for want of capacity, after AddArrival was called for it.
func (counter *Counter) AddRefused(key Key, now time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	known := counter.state(key)
	known.refused = known.refused*decay.Weight(now.Sub(known.lastRefused), HalfLife) + 1
	known.lastRefused = now
}

// AddWaiting counts a request that waits for the key since its arrival.
func (counter *Counter) AddWaiting(key Key, arrived time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	known := counter.state(key)
	known.arrivals = append(known.arrivals, arrived)
}

// RemoveWaiting removes a waiting request with the given arrival. It does nothing if there is none.
func (counter *Counter) RemoveWaiting(key Key, arrived time.Time) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	known := counter.state(key)
	for index, at := range known.arrivals {
		if at.Equal(arrived) {
			known.arrivals = append(known.arrivals[:index], known.arrivals[index+1:]...)
			return
		}
	}
}

func (counter *Counter) state(key Key) *keyState {
	known, ok := counter.keys[key]
	if !ok {
		known = &keyState{}
		counter.keys[key] = known
	}
	return known
}

// AddInFlight counts a request of the given priority in flight, without a first event yet.
func (counter *Counter) AddInFlight(replicaKey ReplicaKey, priority int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.inFlight[replicaKey] = counter.inFlight[replicaKey].Plus(OneWaiting(priority))
}

// MarkFirstEvent records that a request has got its first event, or that none is expected.
func (counter *Counter) MarkFirstEvent(replicaKey ReplicaKey, priority int) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	counter.inFlight[replicaKey] = counter.inFlight[replicaKey].AfterFirstEvent(priority)
}

// RemoveInFlight removes a request in flight. MarkFirstEvent must have been called for it.
func (counter *Counter) RemoveInFlight(replicaKey ReplicaKey) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	count := counter.inFlight[replicaKey]
	count.Running--
	counter.inFlight[replicaKey] = count
	if count.Running == 0 {
		delete(counter.inFlight, replicaKey)
	}
}

// keyTTL is the time after the last arrival at which a key without waiting requests is removed.
const keyTTL = time.Minute

// Snapshot returns the demand for each key and the requests in flight, and removes expired keys.
func (counter *Counter) Snapshot(now time.Time) ([]KeyDemand, map[ReplicaKey]InFlight) {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	demands := make([]KeyDemand, 0, len(counter.keys))
	for key, known := range counter.keys {
		if len(known.arrivals) == 0 && now.Sub(known.lastArrival) > keyTTL {
			delete(counter.keys, key)
			continue
		}
		next := KeyDemand{Key: key, Waiting: len(known.arrivals), Target: known.target, LastArrival: known.lastArrival}
		passed := now.Sub(known.lastArrival)
		next.Rate = decay.Rate(known.rate, passed, HalfLife)
		next.Rise = decay.Rate(known.recent, passed, recentHalfLife) - next.Rate
		next.Tokens = decay.Rate(known.tokens, passed, HalfLife)
		next.Refused = decay.Rate(known.refused, now.Sub(known.lastRefused), HalfLife)
		if len(known.arrivals) > 0 {
			next.Oldest = slices.MinFunc(known.arrivals, time.Time.Compare)
		}
		demands = append(demands, next)
	}
	return demands, maps.Clone(counter.inFlight)
}

// InFlight returns the requests in flight.
func (counter *Counter) InFlight() map[ReplicaKey]InFlight {
	counter.mutex.Lock()
	defer counter.mutex.Unlock()
	return maps.Clone(counter.inFlight)
}
