package placement

import "github.com/bronzestall/bronzestall/upstream"

// addEstimates adds an estimate for each model that requests wait for and that has no serving
// replica.
func (placer *Placer) addEstimates() {
	for i := range placer.models {
		entry := &placer.models[i]
		if !entry.inForce || entry.demand.Waiting == 0 || entry.serving > 0 {
			continue
		}
		placer.result.LoadEstimates = append(placer.result.LoadEstimates, placer.estimate(entry))
	}
}

func (placer *Placer) estimate(entry *modelState) LoadEstimate {
	estimate := LoadEstimate{Model: entry.name}
	if entry.count > 0 {
		return estimate
	}
	if entry.unloading > 0 {
		estimate.Obstacle = AwaitsMemory
		estimate.ReadyIn = placer.settings.UnloadTime + placer.loadTimes.Time(upstream.Memory, entry.model.Weights)
		return estimate
	}
	memory := entry.model.Memory()
	if entry.hasOption {
		estimate.Obstacle = entry.option.obstacle
		estimate.ReadyIn = entry.option.cost
		return estimate
	}
	estimate.Obstacle = NoUpstream
	for u := range placer.input.Upstreams {
		engine := &placer.input.Upstreams[u]
		if engine.Usable && !engine.Leaving && engine.Capacity >= memory {
			estimate.Obstacle = NoRoom
		}
	}
	return estimate
}
