package residency

import (
	"cmp"
	"math"
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/internal/decay"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// reliefShare is the number of requests in flight per replica, as a fraction of an engine's slots, that copies
	// ordered for a full model lead to.
	reliefShare = 0.5
	// refusalsForgotten is the time after which refusals hardly count in their rate any more.
	refusalsForgotten = 2 * demand.HalfLife
	// maxRefusedGrowth bounds the factor by which refusals raise the number of replicas at once.
	maxRefusedGrowth = 8.0
	// waitShare is the part of a load from the weight store that copies on busy engines may take to be worth waiting for.
	waitShare = 0.5
	// lastingFall is the fall of the rate, as a fraction of it, from which demand is not expected to last.
	lastingFall = 0.3
	// maxStoreSearches bounds the searches for an engine for a load from the weight store in one plan.
	maxStoreSearches = 2
)

// relieve plans further copies of models whose replicas are full, as many as their demand needs, those with the most
// refused requests first.
func (plan *plan) relieve() {
	plan.relieved = map[string]bool{}
	slots := float64(plan.slots())
	names := plan.modelsWhere(func(demand Demand) bool { return demand.refusing() || demand.inFlight() >= slots })
	names = slices.DeleteFunc(names, func(name string) bool { return !plan.full(name) })
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(plan.pressure(b), plan.pressure(a)), strings.Compare(a, b))
	})
	for _, name := range names {
		plan.relieveModel(name)
	}
}

// relieveModel plans the missing copies of a model whose replicas are full.
func (plan *plan) relieveModel(name string) {
	missing := plan.missing(name)
	if missing <= 0 {
		return
	}
	plan.relieved[name] = true
	gain := plan.pressure(name) / float64(missing)
	for ; missing > 0; missing-- {
		best, cause := plan.reliefOption(name, gain)
		if cause != None {
			plan.noteShortage(name, missing, cause)
			return
		}
		plan.order(best, name, "Full")
	}
}

// full reports whether the replicas of the model have no capacity left for its demand.
func (plan *plan) full(name string) bool {
	if plan.refusing(name) {
		return true
	}
	return plan.inFlight(name) >= float64(plan.slots()*max(plan.index.replicaCount(name), 1))
}

// refusing reports whether requests are refused because the loaded replicas of the model are full. Refusals that may be
// from before the first of them was loaded count only if these are in use.
func (plan *plan) refusing(name string) bool {
	demand := plan.state.Models[name]
	loaded := plan.index.loaded[name]
	if len(loaded) == 0 || !demand.refusing() {
		return false
	}
	if float64(demand.Running) >= inFlightShare*float64(plan.slots()*len(loaded)) {
		return true
	}
	return slices.ContainsFunc(loaded, func(engine *Engine) bool {
		at, ok := engine.LoadedAt[name]
		return !ok || plan.state.Now.Sub(at) >= refusalsForgotten
	})
}

// inFlight returns the number of requests that will run or wait when a copy ordered now serves. The requests that were
// refused while no engine had the model count as waiting, since their clients come back.
func (plan *plan) inFlight(name string) float64 {
	demand := plan.state.Models[name]
	if len(plan.index.loaded[name]) > 0 {
		demand.Refused = 0
	}
	return demand.inFlight()
}

// slots returns the number of requests that an engine runs at once.
func (plan *plan) slots() int { return max(plan.state.Spec.Slots, 1) }

// missing returns the number of copies that the demand for a full model needs besides those that are loaded, being
// loaded or ordered.
func (plan *plan) missing(name string) int {
	demand := plan.state.Models[name]
	byRunning := plan.inFlight(name) / (reliefShare * float64(plan.slots()))
	byTokens := demand.growth() * demand.Tokens / (prefillShare * plan.planner.settings.PrefillRate)
	needed := max(int(math.Ceil(max(byRunning, byTokens))), plan.refusedReplicas(name))
	existing := plan.index.replicaCount(name) + plan.index.reserved[name] + plan.ordered[name]
	return min(needed, len(plan.index.targets)) - existing
}

// refusedReplicas returns the number of replicas that would serve the refused requests too, each as many as those that
// serve now; zero if none is refused. Each refused request is taken to have come twice. There is at most one further
// replica for each request that is refused per second.
func (plan *plan) refusedReplicas(name string) int {
	demand := plan.state.Models[name]
	if !plan.refusing(name) {
		return 0
	}
	wanted := demand.growth() * (demand.Rate - demand.Refused/2)
	factor := maxRefusedGrowth
	if served := demand.Rate - demand.Refused; served > 0 {
		factor = min(wanted/served, maxRefusedGrowth)
	}
	needed := min(math.Ceil(factor*plan.serving(name)), float64(len(plan.index.loaded[name]))+math.Ceil(demand.Refused))
	return min(int(needed), len(plan.state.Engines))
}

// serving returns the number of replicas that the rate of served requests stands for: one that was loaded lately counts
// in part.
func (plan *plan) serving(name string) float64 {
	count := 0.0
	for _, engine := range plan.index.loaded[name] {
		if at, ok := engine.LoadedAt[name]; ok {
			count -= decay.Weight(plan.state.Now.Sub(at), demand.HalfLife)
		}
		count++
	}
	return count
}

// pressure returns what the lack of replicas costs, in seconds of waiting per second.
func (plan *plan) pressure(name string) float64 {
	demand := plan.state.Models[name]
	queued := plan.inFlight(name) - float64(plan.slots()*len(plan.index.loaded[name]))
	return refusalCost*demand.Refused + max(queued, 1)
}

// reliefOption returns the cheapest way to load one more copy now: from an engine that has the weights, or from the
// weight store if none can load them soon and the demand lasts. gain is the value of the copy, in seconds of waiting per
// second. The cause is why there is no way.
func (plan *plan) reliefOption(name string, gain float64) (option, Cause) {
	model := plan.state.Spec.Models[name]
	demand := plan.state.Models[name]
	best, soon := plan.copyOption(&model, gain)
	switch {
	case best.engine != nil:
		return best, None
	case soon:
		return best, EngineBusy
	case demand.Rise < -lastingFall*demand.Rate:
		return best, NotLasting
	case !plan.mayUseStore():
		return best, StoreBusy
	}
	if best = plan.storeOption(&model, gain); best.engine == nil {
		return best, NoRoom
	}
	return best, None
}

// copyOption returns the cheapest way to load one more copy on an available engine that has the weights, and whether a
// busy one can load them soon.
func (plan *plan) copyOption(model *topology.Model, gain float64) (best option, soon bool) {
	best.cost = math.Inf(1)
	for _, engine := range plan.index.copies[model.Name] {
		tier := tierOf(&engine.Holding, model.Name)
		next, ok := plan.option(engine, model, tier, relief)
		switch {
		case !ok || !worthwhile(next, gain):
		case plan.available(engine):
			if next.cost < best.cost {
				best = next
			}
		case !plan.taken[engine.ID]:
			wait := max(engine.ReadyAt.Sub(plan.state.Now), 0) + tier.Duration(model)
			soon = soon || wait.Seconds() < waitShare*model.StoreLoad.Seconds()
		}
	}
	return best, soon
}

// storeOption returns the cheapest way to load one more copy from the weight store. After maxStoreSearches in one plan it
// finds none, since each looks at all engines.
func (plan *plan) storeOption(model *topology.Model, gain float64) option {
	best := option{cost: math.Inf(1)}
	if plan.storeSearches++; plan.storeSearches > maxStoreSearches {
		return best
	}
	for _, engine := range plan.index.targets {
		if !plan.available(engine) || tierOf(&engine.Holding, model.Name) != Store || engine.Holding.Has(model.Name, "") {
			continue
		}
		if next, ok := plan.option(engine, model, Store, relief); ok && worthwhile(next, gain) && next.cost < best.cost {
			best = next
		}
	}
	return best
}

// worthwhile reports whether a copy of the given value is worth more than what is unloaded for it.
func worthwhile(next option, gain float64) bool {
	return len(next.victims) == 0 || lossWeight*next.loss < gain
}
