package release

import "sync"

// offer is a peer's word that it has a number in force.
type offer struct {
	number uint64
	source Source
}

// offers keeps the highest offer and wakes the follower. It is safe for concurrent use.
type offers struct {
	mutex sync.Mutex
	best  offer
	// wake has room for one signal.
	wake chan struct{}
}

func newOffers() *offers {
	return &offers{wake: make(chan struct{}, 1)}
}

// put keeps the offer if it is the highest, and wakes the follower then.
func (offers *offers) put(next offer) {
	offers.mutex.Lock()
	defer offers.mutex.Unlock()
	if next.number <= offers.best.number {
		return
	}
	offers.best = next
	select {
	case offers.wake <- struct{}{}:
	default:
	}
}

// take removes the highest offer and reports whether it is above the number.
func (offers *offers) take(number uint64) (offer, bool) {
	offers.mutex.Lock()
	defer offers.mutex.Unlock()
	best := offers.best
	offers.best = offer{}
	return best, best.source != nil && best.number > number
}
