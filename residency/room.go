package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// blocked returns the cost of keeping the engine from quick loads of what only it has copies of.
func (plan *plan) blocked(engine *Engine) float64 {
	rate := 0.0
	for _, name := range engine.Holding.OnDisk {
		if _, loaded := engine.Holding.Find(name); !loaded {
			rate += plan.state.Models[name].Rate
		}
	}
	return rate
}

// room returns the models to unload so that the model fits, the least valuable first, and the value that
// is lost, in seconds of expected wait a second.
func (plan *plan) room(engine *Engine, model *topology.Model, purpose purpose) (victims []string, loss float64, ok bool) {
	need := engine.used(plan.state.Spec.Models) + model.Weights - plan.state.Spec.Memory
	if need <= 0 {
		return nil, 0, true
	}
	type victim struct {
		name string
		loss float64
	}
	var all []victim
	for _, loaded := range engine.Holding.Models {
		if value, may := plan.mayUnload(engine, loaded.Model); may && (purpose == awaited || value == 0 || !plan.busy(loaded.Model)) {
			all = append(all, victim{loaded.Model, value})
		}
	}
	slices.SortFunc(all, func(a, b victim) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), strings.Compare(a.name, b.name))
	})
	for _, next := range all {
		if need <= 0 {
			break
		}
		need -= plan.state.Spec.Models[next.name].Weights
		loss += next.loss
		victims = append(victims, next.name)
	}
	return victims, loss, need <= 0
}

// mayUnload reports whether the engine can give up the model now, and the value that is lost.
func (plan *plan) mayUnload(engine *Engine, name string) (loss float64, may bool) {
	demand := plan.state.Models[name]
	if engine.Running[name] > 0 {
		return 0, false
	}
	if at, ok := engine.LoadedAt[name]; ok && plan.state.Now.Sub(at) < keepFresh {
		return 0, false
	}
	loaded := plan.index.loaded[name]
	if demand.Waiting > 0 && len(loaded) == 1 {
		return 0, false
	}
	if len(loaded) > max(plan.wanted(name), 1) {
		return 0, true
	}
	model := plan.state.Spec.Models[name]
	quick := plan.quickest(engine, &model)
	return demand.Rate * quick.Seconds(), true
}

// quickest returns the time of a later load of the model at the engine, which keeps a copy of it.
func (plan *plan) quickest(engine *Engine, model *topology.Model) time.Duration {
	tier := tierOf(&engine.Holding, model.Name)
	if tier == Store {
		tier = Disk
	}
	return tier.Duration(model)
}
