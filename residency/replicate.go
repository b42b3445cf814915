package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"
)

// wanted returns the number of replicas that the demand for the model asks for.
func (plan *plan) wanted(name string) int {
	demand := plan.state.Models[name]
	perReplica := max(runningPerReplica*float64(plan.state.Spec.Slots), 1)
	byRunning := float64(demand.Running+demand.Waiting) / perReplica
	byTokens := demand.Tokens / (prefillShare * plan.planner.settings.PrefillRate)
	wanted := int(math.Ceil(max(byRunning, byTokens)))
	if plan.busy(name) {
		wanted = max(wanted, plan.index.zones)
	}
	return min(wanted, len(plan.state.Engines))
}

// busy reports whether the model is asked for so often, or by callers so impatient, that each data centre keeps it.
func (plan *plan) busy(name string) bool {
	demand := plan.state.Models[name]
	model := plan.state.Spec.Models[name]
	impatient := demand.Target > 0 && demand.Target < model.DiskLoad
	return demand.Rate >= busyRate || (impatient && demand.Rate >= impatientRate)
}

// replicate adds a replica to busy models that have too few, first in data centres without one.
func (plan *plan) replicate() {
	for _, name := range plan.names(func(demand Demand) bool { return demand.repeated() }) {
		if plan.index.holders(name) >= plan.wanted(name) {
			continue
		}
		served := map[string]bool{}
		for _, engine := range plan.index.loaded[name] {
			served[engine.Zone] = true
		}
		for _, engine := range plan.index.loading[name] {
			served[engine.Zone] = true
		}
		if len(served) == plan.index.zones {
			served = nil
		}
		plan.load(name, "Busy", ahead, served)
	}
}

// short reports whether the replicas of the model cannot keep up with its prompts, so that a slow load of
// a further one is worth keeping an engine from quick loads.
func (plan *plan) short(name string) bool {
	demand := plan.state.Models[name]
	needed := max(
		demand.Tokens/(shortShare*plan.planner.settings.PrefillRate),
		float64(demand.Running+demand.Waiting)/(shortShare*float64(max(plan.state.Spec.Slots, 1))),
	)
	return plan.index.holders(name) > 0 && float64(plan.index.holders(name)) < needed
}

// copyWeights loads models of which no engine has a copy, so that a later load is quick.
func (plan *plan) copyWeights() {
	if !plan.mayUseStore() {
		return
	}
	for _, name := range plan.uncopied() {
		if !plan.mayUseStore() {
			return
		}
		plan.load(name, "Copy", ahead, nil)
	}
}

// uncopied returns the models without a copy, the most wanted first.
func (plan *plan) uncopied() []string {
	var names []string
	for name := range plan.state.Spec.Models {
		if !plan.index.copied(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := plan.state.Models[a], plan.state.Models[b]
		return cmp.Or(cmp.Compare(second.Rate, first.Rate), strings.Compare(a, b))
	})
	return names
}

// mayUseStore reports whether one more load from the weight store keeps its limits.
func (plan *plan) mayUseStore() bool {
	if plan.index.storeLoads+plan.storeLoads >= plan.atOnce() {
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

// atOnce returns the number of loads from the weight store at full speed, as far as known.
func (plan *plan) atOnce() int {
	if plan.state.StoreLimit > 0 {
		return plan.state.StoreLimit
	}
	return plan.planner.settings.StoreLoadsAtOnce
}
