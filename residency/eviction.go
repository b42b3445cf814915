package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// occupancyCost returns the cost of keeping the engine from quick loads: the total request rate of the models that
// it has on disk and not loaded.
func (plan *plan) occupancyCost(engine *Engine) float64 {
	rate := 0.0
	for _, name := range engine.Holding.OnDisk {
		if _, loaded := engine.Holding.Find(name); !loaded {
			rate += plan.state.Models[name].Rate
		}
	}
	return rate
}

// selectVictims returns the models to unload so that the model fits, those of least value first. loss is the value
// lost, in seconds of expected waiting per second. ok is false if the model cannot fit.
func (plan *plan) selectVictims(engine *Engine, model *topology.Model, purpose purpose) (victims []string, loss float64, ok bool) {
	need := engine.used(plan.state.Spec.Models) + model.Weights - plan.state.Spec.Memory
	if need <= 0 {
		return nil, 0, true
	}
	type victim struct {
		name string
		loss float64
	}
	var candidates []victim
	for _, loaded := range engine.Holding.Models {
		facts := plan.factsOf(loaded.Model)
		value, allowed := plan.mayUnload(engine, loaded.Model, facts)
		if !allowed || !plan.mayMakeRoom(facts, model.Name, purpose, value) {
			continue
		}
		if purpose != prefetch && facts.remaining > 1 {
			value /= float64(facts.remaining)
		}
		if facts.lastOfRecent {
			value += lastCopyCost
		}
		candidates = append(candidates, victim{loaded.Model, value})
	}
	slices.SortFunc(candidates, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), strings.Compare(a.name, b.name))
	})
	for _, next := range candidates {
		if need <= 0 {
			break
		}
		need -= plan.state.Spec.Models[next.name].Weights
		loss += next.loss
		victims = append(victims, next.name)
	}
	return victims, loss, need <= 0
}

// mayMakeRoom reports whether the victim, whose unload loses the given value, may be unloaded for a load of the model.
func (plan *plan) mayMakeRoom(victim *facts, model string, purpose purpose, loss float64) bool {
	switch purpose {
	case onDemand:
		quiet := plan.state.Now.Sub(victim.LastArrival) >= quietTime
		return !victim.lastOfRecent || quiet || plan.impatient(model)
	case relief:
		return !victim.lastOfRecent && !victim.full
	default:
		return !victim.lastOfRecent && (loss == 0 || !victim.popular)
	}
}

// impatient reports whether requests have waited for the model for longPatience.
func (plan *plan) impatient(name string) bool {
	demand := plan.state.Models[name]
	return demand.Waiting > 0 && plan.state.Now.Sub(demand.Oldest) >= longPatience
}

// mayUnload reports whether the engine may unload the model with the facts now, and the value lost by that.
func (plan *plan) mayUnload(engine *Engine, name string, facts *facts) (loss float64, allowed bool) {
	if engine.Running[name] > 0 {
		return 0, false
	}
	if at, ok := engine.LoadedAt[name]; ok && plan.state.Now.Sub(at) < minResidency {
		return 0, false
	}
	if facts.Waiting > 0 && facts.remaining <= 1 {
		return 0, false
	}
	if facts.surplus {
		return 0, true
	}
	model := plan.state.Spec.Models[name]
	reload := plan.reloadTime(engine, &model)
	return facts.Rate * reload.Seconds(), true
}

// reloadTime returns the duration of a later load of the model on the engine, which keeps a copy on disk.
func (plan *plan) reloadTime(engine *Engine, model *topology.Model) time.Duration {
	tier := tierOf(&engine.Holding, model.Name)
	if tier == Store {
		tier = Disk
	}
	return tier.Duration(model)
}
