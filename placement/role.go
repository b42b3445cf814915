package placement

import "github.com/bronzestall/bronzestall/upstream"

// changeRoles makes idle prefill engines serve both phases while requests wait for a model that
// no other engine can take. Requests are not split between phases, so a prefill engine serves
// nothing by itself.
func (placer *Placer) changeRoles() {
	for i := range placer.models {
		entry := &placer.models[i]
		if entry.need.Waiting == 0 || !entry.inForce || entry.count+entry.retiring > 0 || entry.placed {
			continue
		}
		entry.site, entry.placed = placer.openUpstream(entry)
	}
}

// openUpstream decides to change the role of the first idle prefill engine that can hold the
// model, and returns where the model will be loaded then.
func (placer *Placer) openUpstream(entry *active) (site, bool) {
	memory := entry.model.Memory()
	checkpoint := upstream.CheckpointKey(entry.name, entry.model.Version)
	for u := range placer.input.Upstreams {
		machine := &placer.input.Upstreams[u]
		space := &placer.room[u]
		free := machine.Capacity - machine.Charged - space.taken
		if machine.Role != upstream.Prefill || !machine.Usable || machine.Leaving || free < memory || isBusy(machine) {
			continue
		}
		if space.taken == 0 {
			placer.result.Decisions = append(placer.result.Decisions, Decision{
				Verb: upstream.ChangeRole, Upstream: machine.Name, Role: upstream.Mixed,
			})
		}
		space.taken += memory
		tier := machine.Checkpoints[checkpoint]
		ready := placer.settings.Drain + placer.tiers.Time(tier, entry.model.Weights)
		return site{upstream: u, tier: tier, cost: ready, wait: AwaitsMemory}, true
	}
	return site{}, false
}

func isBusy(machine *Upstream) bool {
	for i := range machine.Replicas {
		if machine.Replicas[i].Load > 0 {
			return true
		}
	}
	return false
}
