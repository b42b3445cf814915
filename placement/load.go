package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// option is one way to load a model.
type option struct {
	upstream int
	tier     upstream.Tier
	// cost is the expected time until the replica serves.
	cost time.Duration
	// free is the free memory in bytes.
	free int64
	// obstacle is what the load has to wait for.
	obstacle Obstacle
}

// loadOne decides one load of the model if it can start now, and reports whether it was decided.
func (placer *Placer) loadOne(entry *modelState) bool {
	if !entry.lacksReplica() {
		return false
	}
	best, found := placer.bestOption(entry)
	if entry.count == 0 {
		entry.option, entry.hasOption = best, found
	}
	if !found {
		return false
	}
	engine := &placer.input.Upstreams[best.upstream]
	placer.usage[best.upstream].reserved += entry.model.Memory()
	if best.obstacle == AwaitsMemory {
		placer.evict(entry, best.upstream)
		return false
	}
	if best.obstacle == AwaitsPermit {
		return false
	}
	if best.tier == upstream.Remote {
		placer.permits--
	}
	placer.result.Decisions = append(placer.result.Decisions, Decision{
		Verb:     upstream.Load,
		Upstream: engine.Name,
		Model:    entry.name,
		Version:  entry.model.Version,
		Memory:   entry.model.Memory(),
		Tier:     best.tier,
		Warm:     priority(entry) == 2,
	})
	entry.count++
	entry.decided = append(entry.decided, best.upstream)
	return true
}

// bestOption returns the option that serves first; of equal ones the one with the least free
// memory.
func (placer *Placer) bestOption(entry *modelState) (option, bool) {
	best := option{cost: math.MaxInt64}
	found := false
	assignment := placer.assignment(entry)
	checkpoint := upstream.CheckpointKey(entry.name, entry.model.Version)
	for u := range placer.input.Upstreams {
		if assignment.Restricted && placer.input.Upstreams[u].Name != assignment.Upstream {
			continue
		}
		candidate, ok := placer.option(entry, u, checkpoint, assignment.MemoryCharged)
		if !ok {
			continue
		}
		if candidate.cost < best.cost || candidate.cost == best.cost && candidate.free < best.free {
			best, found = candidate, true
		}
	}
	return best, found
}

func (placer *Placer) assignment(entry *modelState) Assignment {
	if placer.input.Assign == nil {
		return Assignment{}
	}
	return placer.input.Assign(entry.model)
}

func (placer *Placer) option(entry *modelState, u int, checkpoint string, memoryCharged bool) (option, bool) {
	engine := &placer.input.Upstreams[u]
	if !engine.Usable || engine.Leaving || engine.Role == upstream.Prefill || placer.holds(entry, u) {
		return option{}, false
	}
	memory := entry.model.Memory()
	used := placer.usage[u]
	candidate := option{upstream: u, tier: engine.Checkpoints[checkpoint], free: engine.Capacity - engine.Charged - used.reserved}
	candidate.cost = placer.loadTimes.Time(candidate.tier, entry.model.Weights)
	if candidate.tier == upstream.Remote && placer.permits < 1 {
		candidate.obstacle = AwaitsPermit
		candidate.cost += placer.input.NextPermitIn
	}
	if memoryCharged || candidate.free >= memory {
		return candidate, true
	}
	candidate.obstacle = AwaitsMemory
	candidate.cost += placer.settings.UnloadTime
	if candidate.free+used.freeing >= memory {
		return candidate, true
	}
	candidate.cost += placer.settings.UnloadTime
	return candidate, candidate.free+used.freeing+placer.evictable(entry, u) >= memory
}

// holds reports whether the upstream has a replica of the version in force in any phase, since
// an engine holds at most one.
func (placer *Placer) holds(entry *modelState, u int) bool {
	for _, position := range entry.refs {
		if position.upstream != u {
			continue
		}
		if _, replica := placer.replicaAt(position); replica.Version == entry.model.Version {
			return true
		}
	}
	return slices.Contains(entry.decided, u)
}

// evictable returns the memory in bytes of the replicas that may be unloaded for the model.
func (placer *Placer) evictable(entry *modelState, u int) int64 {
	var total int64
	engine := &placer.input.Upstreams[u]
	for r := range engine.Replicas {
		if placer.mayEvict(entry, ref{u, r}) {
			total += engine.Replicas[r].Memory
		}
	}
	return total
}

// mayEvict reports whether a replica may be evicted for the model. Only idle replicas may. A
// load that requests wait for may evict every idle replica that its own demand does not require.
// A load that keeps a model warm may evict only replicas beyond those to be kept warm, and only
// after IdleAfter.
func (placer *Placer) mayEvict(entry *modelState, position ref) bool {
	_, replica := placer.replicaAt(position)
	if replica.Phase != Serving || replica.Load > 0 || replica.Pinned {
		return false
	}
	other := &placer.models[placer.index[replica.Model]]
	if other == entry && replica.Version != entry.model.Version {
		return entry.demand.Waiting == 0 && placer.input.Now.Sub(replica.LastUsed) >= placer.settings.IdleAfter
	}
	if other.inForce && other.demand.Waiting+other.demand.Running > 0 && other.count <= other.forDemand {
		return false
	}
	if priority(entry) < 2 {
		return true
	}
	warmReplicas := max(other.warm, other.model.MinReplicas)
	return other.count > warmReplicas && placer.input.Now.Sub(replica.LastUsed) >= placer.settings.IdleAfter
}

// evict unloads idle replicas of an upstream until the model fits, those with the lowest warm
// target first, then those that were idle longest.
func (placer *Placer) evict(entry *modelState, u int) {
	engine := &placer.input.Upstreams[u]
	shortfall := func() int64 {
		used := placer.usage[u]
		return engine.Charged + used.reserved - used.freeing - engine.Capacity
	}
	placer.victims = placer.victims[:0]
	for r := range engine.Replicas {
		if placer.mayEvict(entry, ref{u, r}) {
			placer.victims = append(placer.victims, ref{u, r})
		}
	}
	slices.SortFunc(placer.victims, placer.compareVictims)
	for _, position := range placer.victims {
		if shortfall() <= 0 {
			return
		}
		_, replica := placer.replicaAt(position)
		placer.unload(&placer.models[placer.index[replica.Model]], position)
	}
}

func (placer *Placer) compareVictims(a, b ref) int {
	_, first := placer.replicaAt(a)
	_, second := placer.replicaAt(b)
	firstWarm := placer.models[placer.index[first.Model]].warm
	secondWarm := placer.models[placer.index[second.Model]].warm
	if firstWarm != secondWarm {
		return firstWarm - secondWarm
	}
	return first.LastUsed.Compare(second.LastUsed)
}
