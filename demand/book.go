package demand

import (
	"maps"
	"math"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// halfLife is the time in which the weight of an arrival in a rate halves.
const halfLife = 1500 * time.Millisecond

// Key names a model of a service, or one of its adapters.
type Key struct {
	// Service is the name of the service.
	Service string
	// Model is the model and Adapter its adapter; an empty Adapter means the model itself.
	Model, Adapter string
}

// ReplicaKey is a model, or an adapter of it, at one replica.
type ReplicaKey struct {
	topology.Incarnation
	Key
}

// KeyDemand is what the requests of one daemon want of one key.
type KeyDemand struct {
	Key
	// Waiting is the number of requests that wait, and Oldest when the first of them arrived.
	Waiting int
	Oldest  time.Time
	// Rate is the number of arrivals a second, and Tokens that of the prompt tokens that they bring.
	Rate, Tokens float64
	// Target is the shortest time to the first event that callers expect.
	Target time.Duration
	// LastArrival is when the last request arrived.
	LastArrival time.Time
}

// Counter counts the requests of one daemon. It is safe for concurrent use. Use New.
type Counter struct {
	mutex sync.Mutex
	wants map[Key]*want
	// running maps places to requests in flight; an entry is never zero.
	running map[ReplicaKey]InFlight
}

type want struct {
	// arrivals holds when waiting requests arrived, the first first.
	arrivals []time.Time
	// rate is the decayed count of arrivals as of used, and tokens that of their prompt tokens.
	rate, tokens float64
	used         time.Time
	target       time.Duration
}

// New returns an empty book.
func New() *Counter {
	return &Counter{wants: map[Key]*want{}, running: map[ReplicaKey]InFlight{}}
}

// AddArrival notes a request for the key with a prompt of the number of tokens.
func (book *Counter) AddArrival(key Key, tokens int, target time.Duration, now time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	known := book.want(key)
	known.rate = decayed(known.rate, now.Sub(known.used)) + 1
	known.tokens = decayed(known.tokens, now.Sub(known.used)) + float64(tokens)
	known.used = now
	if known.target == 0 || target < known.target {
		known.target = target
	}
}

// AddWaiting notes that a request for the key waits since its arrival.
func (book *Counter) AddWaiting(key Key, arrived time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	known := book.want(key)
	known.arrivals = append(known.arrivals, arrived)
}

// RemoveWaiting notes that the request waits no longer.
func (book *Counter) RemoveWaiting(key Key, arrived time.Time) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	known := book.want(key)
	for index, at := range known.arrivals {
		if at.Equal(arrived) {
			known.arrivals = append(known.arrivals[:index], known.arrivals[index+1:]...)
			return
		}
	}
}

func (book *Counter) want(key Key) *want {
	known, ok := book.wants[key]
	if !ok {
		known = &want{}
		book.wants[key] = known
	}
	return known
}

// AddInFlight notes a request of the rank in flight at the place.
func (book *Counter) AddInFlight(place ReplicaKey, rank int) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.running[place] = book.running[place].Plus(OneWaiting(rank))
}

// MarkFirstEvent notes that the request has got its first event, or waits for none.
func (book *Counter) MarkFirstEvent(place ReplicaKey, rank int) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	book.running[place] = book.running[place].AfterFirstEvent(rank)
}

// RemoveInFlight notes that the request, which has begun, is no longer in flight.
func (book *Counter) RemoveInFlight(place ReplicaKey) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	flight := book.running[place]
	flight.Running--
	book.running[place] = flight
	if flight.Running == 0 {
		delete(book.running, place)
	}
}

// forgetAfter is the time without arrivals after which a key is forgotten.
const forgetAfter = time.Minute

// Snapshot returns what the requests want and where they are in flight.
func (book *Counter) Snapshot(now time.Time) ([]KeyDemand, map[ReplicaKey]InFlight) {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	wants := make([]KeyDemand, 0, len(book.wants))
	for key, known := range book.wants {
		if len(known.arrivals) == 0 && now.Sub(known.used) > forgetAfter {
			delete(book.wants, key)
			continue
		}
		next := KeyDemand{Key: key, Waiting: len(known.arrivals), Target: known.target, LastArrival: known.used}
		next.Rate = decayed(known.rate, now.Sub(known.used)) * math.Ln2 / halfLife.Seconds()
		next.Tokens = decayed(known.tokens, now.Sub(known.used)) * math.Ln2 / halfLife.Seconds()
		if len(known.arrivals) > 0 {
			next.Oldest = known.arrivals[0]
		}
		wants = append(wants, next)
	}
	return wants, maps.Clone(book.running)
}

// InFlight returns where requests are in flight.
func (book *Counter) InFlight() map[ReplicaKey]InFlight {
	book.mutex.Lock()
	defer book.mutex.Unlock()
	return maps.Clone(book.running)
}

// decayed returns what is left of a decaying count after the time.
func decayed(count float64, passed time.Duration) float64 {
	if passed <= 0 {
		return count
	}
	return count * math.Exp2(-passed.Seconds()/halfLife.Seconds())
}
