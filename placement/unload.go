package placement

import "github.com/bronzestall/bronzestall/upstream"

// unloadUnwanted decides the unloads of replicas that are no longer required: withdrawn models,
// versions that have been replaced, and idle replicas beyond the number to keep.
func (placer *Placer) unloadUnwanted() {
	for i := range placer.models {
		entry := &placer.models[i]
		keep := placer.keep(entry)
		for _, position := range entry.refs {
			if placer.isUnwanted(entry, position, keep) {
				placer.unload(entry, position)
			}
		}
	}
}

// keep returns the number of replicas in force to keep. It exceeds the number that the load
// requires, so that a small change of the load unloads nothing.
func (placer *Placer) keep(entry *modelState) int {
	load := entry.demand.Waiting + entry.demand.Running
	perReplica := max(1, int(scaleDownShare*float64(concurrency(entry))))
	return max(entry.target, min(entry.count, ceil(load, perReplica)))
}

func (placer *Placer) isUnwanted(entry *modelState, position ref, keep int) bool {
	engine, replica := placer.replicaAt(position)
	if engine.Leaving || replica.Phase != Serving {
		return false
	}
	if !entry.inForce {
		return true
	}
	idle := replica.Load == 0 && placer.input.Now.Sub(replica.LastUsed) >= placer.settings.IdleAfter
	if replica.Version != entry.model.Version {
		return entry.serving > 0 || idle && entry.demand.Waiting == 0 && entry.target == 0
	}
	return idle && entry.count > keep
}

// unload decides to unload a serving replica and marks it as UnloadOrdered.
func (placer *Placer) unload(entry *modelState, position ref) {
	engine, replica := placer.replicaAt(position)
	placer.result.Decisions = append(placer.result.Decisions, Decision{
		Verb:     upstream.Unload,
		Upstream: engine.Name,
		Model:    replica.Model,
		Version:  replica.Version,
	})
	replica.Phase = UnloadOrdered
	placer.usage[position.upstream].freeing += replica.Memory
	if entry.inForce && replica.Version == entry.model.Version && !engine.Leaving {
		entry.count--
		entry.serving--
		entry.unloading++
	}
}
