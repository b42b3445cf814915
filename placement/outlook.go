package placement

import "github.com/bronzestall/bronzestall/upstream"

// addOutlooks tells for each model that requests wait for and that nothing serves when it will.
func (placer *Placer) addOutlooks() {
	for i := range placer.models {
		entry := &placer.models[i]
		if !entry.inForce || entry.need.Waiting == 0 || entry.serving > 0 {
			continue
		}
		placer.result.LoadEstimates = append(placer.result.LoadEstimates, placer.outlook(entry))
	}
}

func (placer *Placer) outlook(entry *active) LoadEstimate {
	outlook := LoadEstimate{Model: entry.name}
	if entry.count > 0 {
		return outlook
	}
	if entry.retiring > 0 {
		outlook.Obstacle = AwaitsMemory
		outlook.ReadyIn = placer.settings.UnloadTime + placer.tiers.Time(upstream.Memory, entry.model.Weights)
		return outlook
	}
	memory := entry.model.Memory()
	if entry.placed {
		outlook.Obstacle = entry.site.wait
		outlook.ReadyIn = entry.site.cost
		return outlook
	}
	outlook.Obstacle = NoUpstream
	for u := range placer.input.Upstreams {
		machine := &placer.input.Upstreams[u]
		if machine.Usable && !machine.Leaving && machine.Capacity >= memory {
			outlook.Obstacle = NoRoom
		}
	}
	return outlook
}
