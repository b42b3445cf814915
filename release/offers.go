package release

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// maxOffers is the largest number of offers that are kept.
const maxOffers = 64

// offer states that a source has a number in force.
type offer struct {
	number uint64
	source Source
}

// offers holds the highest offers and wakes the follower. It is safe for concurrent use.
//
// It holds one offer for each source. Offers of equal number are taken in random order, since a source may be
// unreachable although other daemons still announce its number.
type offers struct {
	mutex  sync.Mutex
	random *rand.Rand
	// list holds at most maxOffers offers, the highest first.
	list []offer
	// wake has a buffer of one signal.
	wake chan struct{}
}

func newOffers(random *rand.Rand) *offers {
	return &offers{random: random, wake: make(chan struct{}, 1)}
}

// put replaces the older offer of the same source, discards the last offer beyond the limit, and wakes the follower.
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

// insertionIndex returns where to insert an offer of the number: after all higher ones and at random among equal ones.
func (offers *offers) insertionIndex(number uint64) int {
	first := slices.IndexFunc(offers.list, func(other offer) bool { return other.number <= number })
	if first < 0 {
		return len(offers.list)
	}
	end := first
	for end < len(offers.list) && offers.list[end].number == number {
		end++
	}
	return first + offers.random.IntN(end-first+1)
}

// takeHighest removes and returns the highest offer. It reports false if no offer is above the number.
func (offers *offers) takeHighest(number uint64) (offer, bool) {
	return offers.take(number, func(int) int { return 0 })
}

// takeRandom removes and returns a random offer above the number. It reports false if there is none.
func (offers *offers) takeRandom(number uint64) (offer, bool) {
	return offers.take(number, offers.random.IntN)
}

// take removes all offers that are not above the number. Of the others it removes and returns the one whose index
// choose selects.
func (offers *offers) take(number uint64, choose func(count int) int) (offer, bool) {
	offers.mutex.Lock()
	defer offers.mutex.Unlock()
	offers.list = slices.DeleteFunc(offers.list, func(other offer) bool { return other.number <= number })
	if len(offers.list) == 0 {
		return offer{}, false
	}
	index := choose(len(offers.list))
	chosen := offers.list[index]
	offers.list = slices.Delete(offers.list, index, index+1)
	return chosen, true
}
