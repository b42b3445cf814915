package placement

// setTargets computes how many replicas each active model should have.
func (placer *Placer) setTargets() {
	for i := range placer.models {
		placer.setTarget(&placer.models[i])
	}
}

func (placer *Placer) setTarget(entry *modelState) {
	if !entry.inForce {
		return
	}
	limit := max(entry.model.MaxReplicas, entry.model.MinReplicas, 1)
	load := entry.demand.Waiting + entry.demand.Running
	if load > 0 {
		entry.forDemand = min(limit, ceil(load, concurrency(entry)))
	}
	if entry.demand.Waiting == 0 {
		entry.forDemand = min(entry.forDemand, max(entry.count, 1))
	}
	entry.forDemand = max(entry.forDemand, min(limit, placer.outdated(entry)))
	entry.target = max(entry.forDemand, min(limit, max(entry.warm, entry.model.MinReplicas)))
}

// outdated returns the number of replicas in use that have another version than the one in force
// or are on a leaving upstream. The model must have as many in force before they may be
// unloaded.
func (placer *Placer) outdated(entry *modelState) int {
	inUse := 0
	for _, position := range entry.refs {
		engine, replica := placer.replicaAt(position)
		if isUnloading(replica.Phase) || replica.Version == entry.model.Version && !engine.Leaving {
			continue
		}
		if replica.Load > 0 || placer.input.Now.Sub(replica.LastUsed) < placer.settings.IdleAfter {
			inUse++
		}
	}
	return inUse
}

func concurrency(entry *modelState) int {
	if entry.model.Concurrency > 0 {
		return entry.model.Concurrency
	}
	return defaultConcurrency
}

func ceil(value, unit int) int {
	return (value + unit - 1) / unit
}
