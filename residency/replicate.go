package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// targetReplicas returns the number of replicas that the demand for the model requires, at most one per engine.
func (plan *plan) targetReplicas(name string) int {
	demand := plan.state.Models[name]
	perReplica := max(inFlightShare*float64(plan.state.Spec.Slots), 1)
	byRunning := float64(demand.Running+demand.Waiting) / perReplica
	byTokens := demand.Tokens / (prefillShare * plan.planner.settings.PrefillRate)
	target := int(math.Ceil(max(byRunning, byTokens)))
	if plan.popular(name) {
		target = max(target, plan.index.zones)
	}
	return min(target, len(plan.state.Engines))
}

// popular reports whether the model is kept in every data centre, because of its request rate or of
// latency-sensitive callers.
func (plan *plan) popular(name string) bool {
	demand := plan.state.Models[name]
	model := plan.state.Spec.Models[name]
	latencySensitive := demand.Target > 0 && demand.Target < model.DiskLoad
	return demand.Rate >= popularRate || (latencySensitive && demand.Rate >= latencySensitiveRate)
}

// replicate adds a replica to models that have too few, first in data centres without one.
func (plan *plan) replicate() {
	for _, name := range plan.modelsWhere(func(demand Demand) bool { return demand.mayNeedReplica() }) {
		if plan.relieved[name] || plan.index.replicaCount(name) >= plan.targetReplicas(name) {
			continue
		}
		zones := map[string]bool{}
		for _, engine := range plan.index.loaded[name] {
			zones[engine.Zone] = true
		}
		for _, engine := range plan.index.loading[name] {
			zones[engine.Zone] = true
		}
		if len(zones) == plan.index.zones {
			zones = nil
		}
		plan.load(name, "Busy", prefetch, zones)
	}
}

// overloaded reports whether the replicas of the model are too few for its prompts or requests in flight, so that
// a slow load of a further one is worth keeping an engine from quick loads.
func (plan *plan) overloaded(name string) bool {
	demand := plan.state.Models[name]
	needed := max(
		demand.Tokens/(overloadShare*plan.planner.settings.PrefillRate),
		float64(demand.Running+demand.Waiting)/(overloadShare*float64(max(plan.state.Spec.Slots, 1))),
	)
	return plan.index.replicaCount(name) > 0 && float64(plan.index.replicaCount(name)) < needed
}

// copyWeights loads models of which no engine has a copy, so that later loads are quick.
func (plan *plan) copyWeights() {
	if !plan.mayUseStore() {
		return
	}
	for _, name := range plan.uncopied() {
		if !plan.mayUseStore() {
			return
		}
		plan.load(name, "Copy", prefetch, nil)
	}
}

// uncopied returns the models without a copy, those with the highest request rate first.
func (plan *plan) uncopied() []string {
	var names []string
	for name := range plan.state.Spec.Models {
		if !plan.index.hasCopy(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := plan.state.Models[a], plan.state.Models[b]
		return cmp.Or(cmp.Compare(second.Rate, first.Rate), strings.Compare(a, b))
	})
	return names
}

// mayUseStore reports whether one more load stays within the concurrency and rate limits of the weight store.
func (plan *plan) mayUseStore() bool {
	if plan.index.storeLoads+plan.storeLoads >= plan.storeLimit() {
		return false
	}
	recent := plan.storeLoads
	for _, start := range plan.state.StoreLoadStarts {
		if plan.state.Now.Sub(start) < plan.planner.settings.LoadWindow {
			recent++
		}
	}
	allowed := plan.state.Spec.LoadsPerSecond * plan.planner.settings.LoadWindow.Seconds()
	return float64(recent+1) <= allowed
}

// storeLimit returns the number of loads that the weight store serves at full speed, measured or else configured.
func (plan *plan) storeLimit() int {
	if plan.state.StoreLimit > 0 {
		return plan.state.StoreLimit
	}
	return plan.planner.settings.StoreLoadsAtOnce
}
