package decider

import (
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/placement"
)

// updateWarm queries the warm policy for a bounded number of models, cycling through the catalogue,
// so that the cost of a step does not grow with the number of idle models.
func (term *term) updateWarm() {
	for name := range term.warm {
		if _, inForce := term.catalogue.Model(name); !inForce {
			delete(term.warm, name)
		}
	}
	names := term.catalogue.Names()
	for range min(warmModelsPerStep, len(names)) {
		term.warmCursor %= len(names)
		term.updateWarmModel(names[term.warmCursor])
		term.warmCursor++
	}
}

func (term *term) updateWarmModel(name string) {
	model, inForce := term.catalogue.Model(name)
	if !inForce {
		return
	}
	replicas := max(model.MinReplicas, term.decider.deps.WarmPolicy.Wanted(name, term.now))
	if replicas > 0 {
		term.warm[name] = replicas
		return
	}
	delete(term.warm, name)
}

func (term *term) warmTargets() []placement.WarmTarget {
	targets := make([]placement.WarmTarget, 0, len(term.warm))
	for name, replicas := range term.warm {
		targets = append(targets, placement.WarmTarget{Model: name, Replicas: replicas})
	}
	slices.SortFunc(targets, func(a, b placement.WarmTarget) int { return strings.Compare(a.Model, b.Model) })
	return targets
}

// isWanted reports whether requests wait for the model or it is to be kept warm.
func (term *term) isWanted(name string) bool {
	if term.warm[name] > 0 {
		return true
	}
	for _, demand := range term.totalDemands {
		if demand.Model == name && demand.Waiting > 0 {
			return true
		}
	}
	return false
}
