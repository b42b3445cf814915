package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// site is one way to load a model.
type site struct {
	upstream int
	tier     upstream.Tier
	// cost is the expected time until the replica serves.
	cost time.Duration
	// free is the free memory in bytes.
	free int64
	// wait is what has to happen before.
	wait Obstacle
}

// loadOne decides one load of the model if it can be begun, and reports whether it was decided.
func (placer *Placer) loadOne(entry *active) bool {
	if !entry.lacks() {
		return false
	}
	best, found := placer.bestSite(entry)
	if entry.count == 0 {
		entry.site, entry.placed = best, found
	}
	if !found {
		return false
	}
	machine := &placer.input.Upstreams[best.upstream]
	placer.room[best.upstream].taken += entry.model.Memory()
	if best.wait == AwaitsMemory {
		placer.evict(entry, best.upstream)
		return false
	}
	if best.wait == AwaitsPermit {
		return false
	}
	if best.tier == upstream.Remote {
		placer.starts--
	}
	placer.result.Decisions = append(placer.result.Decisions, Decision{
		Verb:     upstream.Load,
		Upstream: machine.Name,
		Model:    entry.name,
		Version:  entry.model.Version,
		Memory:   entry.model.Memory(),
		Tier:     best.tier,
		Warm:     urgency(entry) == 2,
	})
	entry.count++
	entry.decided = append(entry.decided, best.upstream)
	return true
}

// bestSite returns the site that serves first; of equal ones the one with the least free memory.
func (placer *Placer) bestSite(entry *active) (site, bool) {
	best := site{cost: math.MaxInt64}
	found := false
	assigned := placer.assigned(entry)
	checkpoint := upstream.CheckpointKey(entry.name, entry.model.Version)
	for u := range placer.input.Upstreams {
		if assigned.Restricted && placer.input.Upstreams[u].Name != assigned.Upstream {
			continue
		}
		candidate, ok := placer.site(entry, u, checkpoint, assigned.Covered)
		if !ok {
			continue
		}
		if candidate.cost < best.cost || candidate.cost == best.cost && candidate.free < best.free {
			best, found = candidate, true
		}
	}
	return best, found
}

func (placer *Placer) assigned(entry *active) Assignment {
	if placer.input.Assigned == nil {
		return Assignment{}
	}
	return placer.input.Assigned(entry.model)
}

func (placer *Placer) site(entry *active, u int, checkpoint string, covered bool) (site, bool) {
	machine := &placer.input.Upstreams[u]
	if !machine.Usable || machine.Leaving || machine.Role == upstream.Prefill || placer.holds(entry, u) {
		return site{}, false
	}
	memory := entry.model.Memory()
	space := placer.room[u]
	candidate := site{upstream: u, tier: machine.Checkpoints[checkpoint], free: machine.Capacity - machine.Charged - space.taken}
	candidate.cost = placer.tiers.Time(candidate.tier, entry.model.Weights)
	if candidate.tier == upstream.Remote && placer.starts < 1 {
		candidate.wait = AwaitsPermit
		candidate.cost += placer.input.StartsIn
	}
	if covered || candidate.free >= memory {
		return candidate, true
	}
	candidate.wait = AwaitsMemory
	candidate.cost += placer.settings.Drain
	if candidate.free+space.coming >= memory {
		return candidate, true
	}
	candidate.cost += placer.settings.Drain
	return candidate, candidate.free+space.coming+placer.evictable(entry, u) >= memory
}

// holds reports whether the upstream has a replica of the version in force in any phase, since
// an engine holds at most one.
func (placer *Placer) holds(entry *active, u int) bool {
	for _, position := range entry.refs {
		if position.upstream != u {
			continue
		}
		if _, replica := placer.at(position); replica.Version == entry.model.Version {
			return true
		}
	}
	return slices.Contains(entry.decided, u)
}

// evictable returns the memory in bytes of the replicas that may be unloaded for the model.
func (placer *Placer) evictable(entry *active, u int) int64 {
	var total int64
	machine := &placer.input.Upstreams[u]
	for r := range machine.Replicas {
		if placer.mayEvict(entry, ref{u, r}) {
			total += machine.Replicas[r].Memory
		}
	}
	return total
}

// mayEvict reports whether an idle replica may go for the model. Requests push out every idle
// replica of a model that nobody asks for; a warm one pushes out only what is not wished either.
func (placer *Placer) mayEvict(entry *active, position ref) bool {
	_, replica := placer.at(position)
	if replica.Phase != Serving || replica.Load > 0 || replica.Pinned {
		return false
	}
	other := &placer.models[placer.index[replica.Model]]
	if other == entry && replica.Version != entry.model.Version {
		return entry.need.Waiting == 0 && placer.input.Now.Sub(replica.LastUsed) >= placer.settings.IdleAfter
	}
	if other.inForce && other.need.Waiting+other.need.Running > 0 && other.count <= other.forNeed {
		return false
	}
	if urgency(entry) < 2 {
		return true
	}
	wished := max(other.warm, other.model.MinReplicas)
	return other.count > wished && placer.input.Now.Sub(replica.LastUsed) >= placer.settings.IdleAfter
}

// evict unloads idle replicas of an upstream until the model fits, the least wished and longest
// idle first.
func (placer *Placer) evict(entry *active, u int) {
	machine := &placer.input.Upstreams[u]
	lacking := func() int64 {
		space := placer.room[u]
		return machine.Charged + space.taken - space.coming - machine.Capacity
	}
	placer.victims = placer.victims[:0]
	for r := range machine.Replicas {
		if placer.mayEvict(entry, ref{u, r}) {
			placer.victims = append(placer.victims, ref{u, r})
		}
	}
	slices.SortFunc(placer.victims, placer.compareVictims)
	for _, position := range placer.victims {
		if lacking() <= 0 {
			return
		}
		_, replica := placer.at(position)
		placer.unload(&placer.models[placer.index[replica.Model]], position)
	}
}

func (placer *Placer) compareVictims(a, b ref) int {
	_, first := placer.at(a)
	_, second := placer.at(b)
	firstWarm := placer.models[placer.index[first.Model]].warm
	secondWarm := placer.models[placer.index[second.Model]].warm
	if firstWarm != secondWarm {
		return firstWarm - secondWarm
	}
	return first.LastUsed.Compare(second.LastUsed)
}
