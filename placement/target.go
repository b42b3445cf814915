package placement

// setTargets computes for each active model how many replicas it should have.
func (placer *Placer) setTargets() {
	for i := range placer.models {
		placer.setTarget(&placer.models[i])
	}
}

func (placer *Placer) setTarget(entry *active) {
	if !entry.inForce {
		return
	}
	most := max(entry.model.MaxReplicas, entry.model.MinReplicas, 1)
	load := entry.need.Waiting + entry.need.Running
	if load > 0 {
		entry.forNeed = min(most, ceil(load, concurrency(entry)))
	}
	if entry.need.Waiting == 0 {
		entry.forNeed = min(entry.forNeed, max(entry.count, 1))
	}
	entry.forNeed = max(entry.forNeed, min(most, placer.outdated(entry)))
	entry.target = max(entry.forNeed, min(most, max(entry.warm, entry.model.MinReplicas)))
}

// outdated returns the number of replicas in use that have another version than the one in force
// or sit on a leaving upstream, and that the model must have again before they may go.
func (placer *Placer) outdated(entry *active) int {
	inUse := 0
	for _, position := range entry.refs {
		machine, replica := placer.at(position)
		if isLeaving(replica.Phase) || replica.Version == entry.model.Version && !machine.Leaving {
			continue
		}
		if replica.Load > 0 || placer.input.Now.Sub(replica.LastUsed) < placer.settings.IdleAfter {
			inUse++
		}
	}
	return inUse
}

func concurrency(entry *active) int {
	if entry.model.Concurrency > 0 {
		return entry.model.Concurrency
	}
	return defaultConcurrency
}

func ceil(value, unit int) int {
	return (value + unit - 1) / unit
}
