package route

import "github.com/cespare/xxhash/v2"

// The limits of a choice.
const (
	// randomPicks is the number of random picks before all candidates are scanned.
	randomPicks = 6
	// affinityMaxLoad is the load, in eighths of the slots, from which the affinity is not followed.
	affinityMaxLoad = 6
	// ReserveDivisor determines the slots that are reserved for tenants below their share: slots/ReserveDivisor.
	ReserveDivisor = 8
	// loadParts is the denominator of affinityMaxLoad.
	loadParts = 8
)

// Choose returns the index of a candidate with room for the request, or false if there is none.
// Its cost is linear in the number of candidates for a suspect or with an affinity, and else constant
// unless most candidates are at capacity.
func (router *Router) Choose(candidates []Candidate, requirements Requirements) (int, bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if requirements.Suspect {
		return router.chooseForSuspect(candidates, requirements)
	}
	if index, ok := router.chooseByAffinity(candidates, requirements); ok {
		return index, true
	}
	if requirements.Adapter != "" {
		if index, ok := router.scan(candidates, requirements, true); ok {
			return index, true
		}
		return router.scan(candidates, requirements, false)
	}
	if index, ok := router.chooseHashedTwo(candidates, requirements); ok {
		return index, true
	}
	return router.chooseRandomTwo(candidates, requirements)
}

// chooseHashedTwo returns the less loaded, with room, of the candidate of the affinity and the first other candidate
// of the secondary affinity.
func (router *Router) chooseHashedTwo(candidates []Candidate, requirements Requirements) (int, bool) {
	if requirements.SecondaryAffinity == 0 {
		return 0, false
	}
	first, ok := router.highestWeight(candidates, requirements)
	if !ok {
		return 0, false
	}
	requirements.Affinity = requirements.SecondaryAffinity
	second, ok := router.highestWeightExcept(candidates, requirements, first)
	firstLoad, firstRoom := router.estimateLoad(&candidates[first], requirements)
	if !ok {
		return first, firstRoom
	}
	secondLoad, secondRoom := router.estimateLoad(&candidates[second], requirements)
	if firstRoom && (!secondRoom || firstLoad <= secondLoad) {
		return first, true
	}
	return second, secondRoom
}

// AnyAvailable reports whether any candidate accepts requests and is not ejected, whatever its load.
func (router *Router) AnyAvailable(candidates []Candidate) bool {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for index := range candidates {
		candidate := &candidates[index]
		state := router.states[candidate.Upstream]
		if candidate.acceptsRequests() && (state == nil || !state.health.ejected) {
			return true
		}
	}
	return false
}

// chooseRandomTwo returns the less loaded of two random candidates with room.
func (router *Router) chooseRandomTwo(candidates []Candidate, requirements Requirements) (int, bool) {
	best, found := 0, 0
	bestLoad := 0
	for range randomPicks {
		index := router.random.IntN(len(candidates))
		load, ok := router.estimateLoad(&candidates[index], requirements)
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
	return router.scan(candidates, requirements, false)
}

// scan goes through all candidates, starting at a random one, and returns the less loaded of the first two with
// room. If onlyWithAdapter is true it skips candidates without the adapter.
func (router *Router) scan(candidates []Candidate, requirements Requirements, onlyWithAdapter bool) (int, bool) {
	offset := router.random.IntN(len(candidates))
	best, found := 0, 0
	bestLoad := 0
	for step := range candidates {
		index := (offset + step) % len(candidates)
		if onlyWithAdapter && !candidates[index].hasAdapter(requirements.Adapter) {
			continue
		}
		load, ok := router.estimateLoad(&candidates[index], requirements)
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

// chooseByAffinity returns the candidate of the affinity if its load is below affinityMaxLoad and it has the adapter.
func (router *Router) chooseByAffinity(candidates []Candidate, requirements Requirements) (int, bool) {
	if requirements.Affinity == 0 {
		return 0, false
	}
	index, ok := router.highestWeight(candidates, requirements)
	if !ok {
		return 0, false
	}
	candidate := &candidates[index]
	load, ok := router.estimateLoad(candidate, requirements)
	if !ok || load*loadParts >= candidate.Capacity()*affinityMaxLoad {
		return 0, false
	}
	return index, requirements.Adapter == "" || candidate.hasAdapter(requirements.Adapter)
}

// chooseForSuspect returns the candidate of the affinity if no other suspect runs there.
func (router *Router) chooseForSuspect(candidates []Candidate, requirements Requirements) (int, bool) {
	index, ok := router.highestWeight(candidates, requirements)
	if !ok {
		return 0, false
	}
	state := router.states[candidates[index].Upstream]
	if state != nil && state.suspects > 0 {
		return 0, false
	}
	return index, true
}

// highestWeight returns the eligible candidate with the highest rendezvous weight for the affinity.
func (router *Router) highestWeight(candidates []Candidate, requirements Requirements) (int, bool) {
	return router.highestWeightExcept(candidates, requirements, -1)
}

// highestWeightExcept is like highestWeight but skips the candidate at the index except.
func (router *Router) highestWeightExcept(candidates []Candidate, requirements Requirements, except int) (int, bool) {
	best, found := 0, false
	var bestWeight uint64
	for index := range candidates {
		if index == except {
			continue
		}
		weight := mix(requirements.Affinity ^ xxhash.Sum64String(candidates[index].Upstream))
		if found && weight <= bestWeight {
			continue
		}
		if !router.isEligible(&candidates[index], requirements) {
			continue
		}
		best, bestWeight, found = index, weight, true
	}
	return best, found
}

// isEligible reports whether the candidate may get the request, whatever its load.
func (router *Router) isEligible(candidate *Candidate, requirements Requirements) bool {
	router.recordLeaving(candidate)
	if !candidate.acceptsRequests() || candidate.Upstream == requirements.Exclude {
		return false
	}
	if requirements.Only != "" && candidate.Upstream != requirements.Only {
		return false
	}
	if requirements.Version != "" && candidate.Version != requirements.Version {
		return false
	}
	if requirements.Release != "" && candidate.Release != requirements.Release {
		return false
	}
	state := router.states[candidate.Upstream]
	return state == nil || state.health.admits(len(state.sendTimes))
}

// estimateLoad returns the estimated load of the candidate and whether it has room for one more request.
func (router *Router) estimateLoad(candidate *Candidate, requirements Requirements) (int, bool) {
	if !router.isEligible(candidate, requirements) {
		return 0, false
	}
	state := router.states[candidate.Upstream]
	report, sentSince := state.estimate(candidate, router.clock.Now())
	load := report + sentSince
	limit := candidate.Capacity()
	reserved := requirements.reserved(limit)
	if requirements.BelowShare {
		return load, load < limit-reserved
	}
	if !requirements.BelowShareOnAverage {
		limit -= max(reserved, limit/ReserveDivisor)
	}
	return load, sentSince < daemonShare(limit-report, requirements.Daemons)
}

// daemonShare returns the part of the free slots that one of the daemons may use, rounded up.
func daemonShare(free, daemons int) int {
	daemons = max(daemons, 1)
	return (free + daemons - 1) / daemons
}

// mix is the 64-bit finaliser of MurmurHash3. It makes each bit of the result depend on all bits of the value.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}
