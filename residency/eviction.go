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
		if value, allowed := plan.mayUnload(engine, loaded.Model); allowed && plan.mayMakeRoom(loaded.Model, model.Name, purpose, value) {
			if remaining := plan.remaining(loaded.Model); purpose != prefetch && remaining > 1 {
				value /= float64(remaining)
			}
			if plan.lastOfRecent(loaded.Model) {
				value += lastCopyCost
			}
			candidates = append(candidates, victim{loaded.Model, value})
		}
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
func (plan *plan) mayMakeRoom(victim, model string, purpose purpose, loss float64) bool {
	switch purpose {
	case onDemand:
		return !plan.lastOfRecent(victim) || plan.quiet(victim) || plan.impatient(model)
	case relief:
		return !plan.lastOfRecent(victim) && !plan.full(victim)
	default:
		return !plan.lastOfRecent(victim) && (loss == 0 || !plan.popular(victim))
	}
}

// lastOfRecent reports whether a single copy of the model is loaded, and was used within recentUse.
func (plan *plan) lastOfRecent(name string) bool {
	return plan.remaining(name) <= 1 && plan.state.Now.Sub(plan.state.Models[name].LastArrival) < recentUse
}

// quiet reports whether the last request for the model came at least quietTime ago.
func (plan *plan) quiet(name string) bool {
	return plan.state.Now.Sub(plan.state.Models[name].LastArrival) >= quietTime
}

// impatient reports whether requests have waited for the model for longPatience.
func (plan *plan) impatient(name string) bool {
	demand := plan.state.Models[name]
	return demand.Waiting > 0 && plan.state.Now.Sub(demand.Oldest) >= longPatience
}

// remaining returns the number of loaded copies of the model, without those that are being unloaded.
func (plan *plan) remaining(name string) int {
	return len(plan.index.loaded[name]) - plan.index.leaving[name] - plan.unloads[name]
}

// mayUnload reports whether the engine may unload the model now, and the value lost by that.
func (plan *plan) mayUnload(engine *Engine, name string) (loss float64, allowed bool) {
	demand := plan.state.Models[name]
	if engine.Running[name] > 0 {
		return 0, false
	}
	if at, ok := engine.LoadedAt[name]; ok && plan.state.Now.Sub(at) < minResidency {
		return 0, false
	}
	remaining := plan.remaining(name)
	if demand.Waiting > 0 && remaining <= 1 {
		return 0, false
	}
	if remaining > max(plan.targetReplicas(name), plan.refusedReplicas(name), 1) {
		return 0, true
	}
	model := plan.state.Spec.Models[name]
	reload := plan.reloadTime(engine, &model)
	return demand.Rate * reload.Seconds(), true
}

// reloadTime returns the duration of a later load of the model on the engine, which keeps a copy on disk.
func (plan *plan) reloadTime(engine *Engine, model *topology.Model) time.Duration {
	tier := tierOf(&engine.Holding, model.Name)
	if tier == Store {
		tier = Disk
	}
	return tier.Duration(model)
}
