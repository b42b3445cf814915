package route

import "github.com/cespare/xxhash/v2"

// The limits of a choice.
const (
	// tries is the number of random picks before all candidates are looked at.
	tries = 6
	// affinityShare is the part of the slots, in eighths, up to which affinity is followed.
	affinityShare = 6
	// ReservePart is the part of the slots, as a divisor, that is kept for tenants below their share.
	ReserveDivisor = 8
	// shareParts is the number of parts of a share.
	shareParts = 8
)

// Choose returns the index of a candidate with room for the request, or false if there is none.
// With an affinity or a suspect its cost grows with the number of candidates; else it is constant
// unless most of them are full.
func (router *Router) Choose(candidates []Candidate, ask Requirements) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if ask.Suspect {
		return router.home(candidates, ask)
	}
	if index, ok := router.near(candidates, ask); ok {
		return index, true
	}
	if ask.Adapter != "" {
		if index, ok := router.scan(candidates, ask, true); ok {
			return index, true
		}
		return router.scan(candidates, ask, false)
	}
	if index, ok := router.pair(candidates, ask); ok {
		return index, true
	}
	return router.random2(candidates, ask)
}

// pair returns the less loaded, with room, of the candidate of the affinity and the first other one of the spread.
func (router *Router) pair(candidates []Candidate, ask Requirements) (int, bool) {
	if ask.SecondaryAffinity == 0 {
		return 0, false
	}
	first, ok := router.top(candidates, ask)
	if !ok {
		return 0, false
	}
	ask.Affinity = ask.SecondaryAffinity
	second, ok := router.topBut(candidates, ask, first)
	firstLoad, firstRoom := router.room(&candidates[first], ask)
	if !ok {
		return first, firstRoom
	}
	secondLoad, secondRoom := router.room(&candidates[second], ask)
	if firstRoom && (!secondRoom || firstLoad <= secondLoad) {
		return first, true
	}
	return second, secondRoom
}

// Serves reports whether a candidate may get requests, whatever its load.
func (router *Router) AnyAvailable(candidates []Candidate) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for index := range candidates {
		candidate := &candidates[index]
		ledger := router.ledgers[candidate.Upstream]
		if candidate.serves() && (ledger == nil || !ledger.health.ejected) {
			return true
		}
	}
	return false
}

// random2 returns the less loaded of two random candidates with room.
func (router *Router) random2(candidates []Candidate, ask Requirements) (int, bool) {
	best, found := 0, 0
	bestLoad := 0
	for range tries {
		index := router.random.IntN(len(candidates))
		load, ok := router.room(&candidates[index], ask)
		if !ok || (found > 0 && index == best) {
			continue
		}
		if found == 0 || load < bestLoad {
			best, bestLoad = index, load
		}
		found++
		if found == 2 {
			return best, true
		}
	}
	if found > 0 {
		return best, true
	}
	return router.scan(candidates, ask, false)
}

// scan looks at all candidates from a random one on and returns the less loaded of the first two with room.
func (router *Router) scan(candidates []Candidate, ask Requirements, held bool) (int, bool) {
	offset := router.random.IntN(len(candidates))
	best, found := 0, 0
	bestLoad := 0
	for step := range candidates {
		index := (offset + step) % len(candidates)
		if held && !candidates[index].holds(ask.Adapter) {
			continue
		}
		load, ok := router.room(&candidates[index], ask)
		if !ok {
			continue
		}
		if found == 0 || load < bestLoad {
			best, bestLoad = index, load
		}
		found++
		if found == 2 {
			break
		}
	}
	return best, found > 0
}

// near returns the candidate of the affinity if its load is well below its slots.
func (router *Router) near(candidates []Candidate, ask Requirements) (int, bool) {
	if ask.Affinity == 0 {
		return 0, false
	}
	index, ok := router.top(candidates, ask)
	if !ok {
		return 0, false
	}
	candidate := &candidates[index]
	load, ok := router.room(candidate, ask)
	if !ok || load*shareParts >= candidate.Capacity()*affinityShare {
		return 0, false
	}
	return index, ask.Adapter == "" || candidate.holds(ask.Adapter)
}

// home returns the first candidate of the affinity if no other suspect runs there.
func (router *Router) home(candidates []Candidate, ask Requirements) (int, bool) {
	index, ok := router.top(candidates, ask)
	if !ok {
		return 0, false
	}
	ledger := router.ledgers[candidates[index].Upstream]
	if ledger != nil && ledger.suspects > 0 {
		return 0, false
	}
	return index, true
}

// top returns the candidate with the highest rendezvous weight among those that serve and are not ejected.
func (router *Router) top(candidates []Candidate, ask Requirements) (int, bool) {
	return router.topBut(candidates, ask, -1)
}

// topBut is top without the candidate at the index.
func (router *Router) topBut(candidates []Candidate, ask Requirements, but int) (int, bool) {
	best, found := 0, false
	var bestWeight uint64
	for index := range candidates {
		if index == but {
			continue
		}
		weight := mix(ask.Affinity ^ xxhash.Sum64String(candidates[index].Upstream))
		if found && weight <= bestWeight {
			continue
		}
		if !router.usable(&candidates[index], ask) {
			continue
		}
		best, bestWeight, found = index, weight, true
	}
	return best, found
}

// usable reports whether the candidate may get requests at all.
func (router *Router) usable(candidate *Candidate, ask Requirements) bool {
	router.sign(candidate)
	if !candidate.serves() || candidate.Upstream == ask.Exclude {
		return false
	}
	if ask.Only != "" && candidate.Upstream != ask.Only {
		return false
	}
	ledger := router.ledgers[candidate.Upstream]
	return ledger == nil || ledger.health.admits(len(ledger.sent))
}

// room returns the estimated load of the candidate and whether it has room for one more.
func (router *Router) room(candidate *Candidate, ask Requirements) (int, bool) {
	if !router.usable(candidate, ask) {
		return 0, false
	}
	ledger := router.ledgers[candidate.Upstream]
	report, since := ledger.known(candidate, router.clock.Now())
	load := report + since
	limit := candidate.Capacity()
	kept := ask.kept(limit)
	if ask.BelowShare {
		return load, load < limit-kept
	}
	if !ask.BelowShareOnAverage {
		limit -= max(kept, limit/ReserveDivisor)
	}
	return load, since < part(limit-report, ask.Daemons)
}

// part returns the part of the free slots that one of the daemons may use, rounded up.
func part(free, daemons int) int {
	daemons = max(daemons, 1)
	return (free + daemons - 1) / daemons
}

// mix spreads the bits of a hash.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
