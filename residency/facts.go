package residency

// facts holds what the search for victims asks for each loaded model, many times in one plan.
type facts struct {
	Demand
	// remaining is the number of loaded copies, without those that are being unloaded.
	remaining int
	// lastOfRecent is set if a single copy is loaded and was used within recentUse.
	lastOfRecent bool
	// surplus is set if more copies are loaded than the demand needs.
	surplus bool
	// popular and full are the results of the methods of these names.
	popular, full bool
}

// factsOf returns the facts of the model. They are kept until an order of the plan unloads a copy of it.
func (plan *plan) factsOf(name string) *facts {
	if known, ok := plan.facts[name]; ok {
		return known
	}
	demand := plan.state.Models[name]
	remaining := len(plan.index.loaded[name]) - plan.index.leaving[name] - plan.unloads[name]
	made := &facts{
		Demand:       demand,
		remaining:    remaining,
		lastOfRecent: remaining <= 1 && plan.state.Now.Sub(demand.LastArrival) < recentUse,
		surplus:      remaining > max(plan.targetReplicas(name), plan.refusedReplicas(name), 1),
		popular:      plan.popular(name),
		full:         plan.full(name),
	}
	plan.facts[name] = made
	return made
}
