package placement

import "github.com/bronzestall/bronzestall/upstream"

// unloadUnwanted decides the unloads of replicas that nobody wants: withdrawn models, versions
// that have been replaced, and idle replicas beyond what is to be kept.
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

// keep returns the number of replicas in force to keep. It stays above the number that the load
// asks for, so that a small change of load unloads nothing.
func (placer *Placer) keep(entry *active) int {
	load := entry.need.Waiting + entry.need.Running
	perReplica := max(1, int(shrinkShare*float64(concurrency(entry))))
	return max(entry.target, min(entry.count, ceil(load, perReplica)))
}

func (placer *Placer) isUnwanted(entry *active, position ref, keep int) bool {
	machine, replica := placer.at(position)
	if machine.Leaving || replica.Phase != Serving {
		return false
	}
	if !entry.inForce {
		return true
	}
	idle := replica.Load == 0 && placer.input.Now.Sub(replica.LastUsed) >= placer.settings.IdleAfter
	if replica.Version != entry.model.Version {
		return entry.serving > 0 || idle && entry.need.Waiting == 0 && entry.target == 0
	}
	return idle && entry.count > keep
}

// unload decides to unload a serving replica and marks it as going.
func (placer *Placer) unload(entry *active, position ref) {
	machine, replica := placer.at(position)
	placer.result.Decisions = append(placer.result.Decisions, Decision{
		Verb:     upstream.Unload,
		Upstream: machine.Name,
		Model:    replica.Model,
		Version:  replica.Version,
	})
	replica.Phase = UnloadOrdered
	placer.room[position.upstream].coming += replica.Memory
	if entry.inForce && replica.Version == entry.model.Version && !machine.Leaving {
		entry.count--
		entry.serving--
		entry.retiring++
	}
}
