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
		if value, allowed := plan.mayUnload(engine, loaded.Model); allowed && (purpose == onDemand || value == 0 || !plan.popular(loaded.Model)) {
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

// mayUnload reports whether the engine may unload the model now, and the value lost by that.
func (plan *plan) mayUnload(engine *Engine, name string) (loss float64, allowed bool) {
	demand := plan.state.Models[name]
	if engine.Running[name] > 0 {
		return 0, false
	}
	if at, ok := engine.LoadedAt[name]; ok && plan.state.Now.Sub(at) < minResidency {
		return 0, false
	}
	loaded := plan.index.loaded[name]
	if demand.Waiting > 0 && len(loaded) == 1 {
		return 0, false
	}
	if len(loaded) > max(plan.targetReplicas(name), 1) {
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
