package placement

import "github.com/bronzestall/bronzestall/upstream"

// changeRoles makes idle prefill engines serve both phases while requests wait for a model that
// no other engine has room for. Requests are not split between phases, so a prefill engine alone
// serves nothing.
func (placer *Placer) changeRoles() {
	for i := range placer.models {
		entry := &placer.models[i]
		if entry.demand.Waiting == 0 || !entry.inForce || entry.count+entry.unloading > 0 || entry.hasOption {
			continue
		}
		entry.option, entry.hasOption = placer.convertPrefill(entry)
	}
}

// convertPrefill decides to change the role of the first idle prefill engine that can hold the
// model, and returns the option to load the model there afterwards.
func (placer *Placer) convertPrefill(entry *modelState) (option, bool) {
	memory := entry.model.Memory()
	checkpoint := upstream.CheckpointKey(entry.name, entry.model.Version)
	for u := range placer.input.Upstreams {
		engine := &placer.input.Upstreams[u]
		used := &placer.usage[u]
		free := engine.Capacity - engine.Charged - used.reserved
		if engine.Role != upstream.Prefill || !engine.Usable || engine.Leaving || free < memory || isBusy(engine) {
			continue
		}
		if used.reserved == 0 {
			placer.result.Decisions = append(placer.result.Decisions, Decision{
				Verb: upstream.ChangeRole, Upstream: engine.Name, Role: upstream.Mixed,
			})
		}
		used.reserved += memory
		tier := engine.Checkpoints[checkpoint]
		ready := placer.settings.UnloadTime + placer.loadTimes.Time(tier, entry.model.Weights)
		return option{upstream: u, tier: tier, cost: ready, obstacle: AwaitsMemory}, true
	}
	return option{}, false
}

func isBusy(engine *Upstream) bool {
	for i := range engine.Replicas {
		if engine.Replicas[i].Load > 0 {
			return true
		}
	}
	return false
}
