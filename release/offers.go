package release

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxOffers is the number of sources whose offers are kept.
const maxOffers = 64

// offer is a peer's word that it has a number in force.
type offer struct {
	number uint64
	source Source
}

// offers keeps the highest offers and wakes the follower. It is safe for concurrent use.
//
// One is kept for each source, and equal ones are taken at random, since a source may
// be a peer that cannot be reached although others still repeat its number.
type offers struct {
	mutex  sync.Mutex
	random *rand.Rand
	// list holds at most offersLimit offers, the highest first.
	list []offer
	// wake has room for one signal.
	wake chan struct{}
}

func newOffers(random *rand.Rand) *offers {
	return &offers{random: random, wake: make(chan struct{}, 1)}
}

// put keeps the offer in place of an older one of its source, drops one of the lowest beyond the limit, and wakes the follower.
func (offers *offers) put(next offer) {
	offers.mutex.Lock()
	defer offers.mutex.Unlock()
	offers.list = slices.DeleteFunc(offers.list, func(other offer) bool { return other.source == next.source })
	offers.list = slices.Insert(offers.list, offers.insertionIndex(next.number), next)
	offers.list = offers.list[:min(len(offers.list), maxOffers)]
	select {
	case offers.wake <- struct{}{}:
	default:
	}
}

// insertionIndex returns a insertionIndex for the number: behind all higher ones, at random among equal ones.
func (offers *offers) insertionIndex(number uint64) int {
	first := slices.IndexFunc(offers.list, func(other offer) bool { return other.number <= number })
	if first < 0 {
		return len(offers.list)
	}
	behind := first
	for behind < len(offers.list) && offers.list[behind].number == number {
		behind++
	}
	return first + offers.random.IntN(behind-first+1)
}

// takeHighest removes the highest offer and reports whether there is one above the number.
func (offers *offers) takeHighest(number uint64) (offer, bool) {
	return offers.take(number, func(int) int { return 0 })
}

// takeRandom removes an offer at random among those above the number and reports whether there is one.
func (offers *offers) takeRandom(number uint64) (offer, bool) {
	return offers.take(number, offers.random.IntN)
}

// take removes the offer that choose picks among those above the number, and all that are not above it.
func (offers *offers) take(number uint64, choose func(count int) int) (offer, bool) {
	offers.mutex.Lock()
	defer offers.mutex.Unlock()
	offers.list = slices.DeleteFunc(offers.list, func(other offer) bool { return other.number <= number })
	if len(offers.list) == 0 {
		return offer{}, false
	}
	at := choose(len(offers.list))
	chosen := offers.list[at]
	offers.list = slices.Delete(offers.list, at, at+1)
	return chosen, true
}
