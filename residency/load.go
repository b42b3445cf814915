package residency

import (
	"math"

	"github.com/bronzestall/bronzestall/topology"
)

// load orders a load of the model at the engine where it is ready first, or the unload that makes room
// for it. If that engine is busy, the load waits for it. It leaves out the data centres in avoid.
func (plan *plan) load(name, reason string, purpose purpose, avoid map[string]bool) {
	model := plan.state.Spec.Models[name]
	best := plan.cheapest(&model, purpose, avoid)
	if best.engine == nil || !plan.free(best.engine) {
		return
	}
	if len(best.victims) > 0 {
		plan.add(best.engine, Order{Operation: Unload, Model: best.victims[0], For: name, Reason: reason + "MakeRoom"})
		return
	}
	if best.tier == Store {
		plan.storeLoads++
	}
	plan.add(best.engine, Order{Operation: Load, Model: name, Tier: best.tier, Reason: reason})
}

// option is a way to load a model.
type option struct {
	engine  *Engine
	tier    Tier
	victims []string
	cost    float64
}

// option returns what a load of the model at the engine would cost, and whether it is possible.
func (plan *plan) option(engine *Engine, model *topology.Model, tier Tier, purpose purpose) (option, bool) {
	victims, loss, ok := plan.room(engine, model, purpose)
	if !ok {
		return option{}, false
	}
	cost := tier.Duration(model).Seconds() + evictionCost*float64(len(victims)) + lossWeight*loss
	if wait := engine.ReadyAt.Sub(plan.state.Now); wait > 0 {
		cost += wait.Seconds()
	}
	if !plan.free(engine) {
		cost += busyCost
	}
	if engine.ReservedFor != "" && engine.ReservedFor != model.Name {
		cost += reservedCost
	}
	if tier == Store {
		cost += plan.blocked(engine)
	}
	return option{engine, tier, victims, cost}, true
}

// purpose tells why a model is loaded, and so what may make room for it.
type purpose int

const (
	// awaited loads serve requests that wait.
	awaited purpose = iota
	// ahead loads serve later requests, and take nothing from busy models.
	ahead
)

// cheapest returns the engine where a load of the model costs least, busy ones included. The weight store
// is used only for a model of which no engine has a copy, or for further replicas of one that has too few
// if no engine with a copy can take it.
func (plan *plan) cheapest(model *topology.Model, purpose purpose, avoid map[string]bool) option {
	best := plan.cheapestOf(plan.index.copies[model.Name], model, purpose, avoid)
	if best.engine != nil || !plan.mayUseStore() {
		return best
	}
	if !plan.index.copied(model.Name) || plan.short(model.Name) {
		return plan.cheapestOf(plan.state.Engines, model, purpose, avoid)
	}
	return best
}

// cheapestOf returns the one of the engines where a load of the model costs least.
func (plan *plan) cheapestOf(engines []*Engine, model *topology.Model, purpose purpose, avoid map[string]bool) option {
	best := option{cost: math.Inf(1)}
	for _, engine := range engines {
		tier := tierOf(&engine.Holding, model.Name)
		if avoid[engine.Zone] || (tier == Store && !plan.free(engine)) {
			continue
		}
		if engine.Holding.Has(model.Name, "") || engine.Loading == model.Name {
			continue
		}
		if next, ok := plan.option(engine, model, tier, purpose); ok && next.cost < best.cost {
			best = next
		}
	}
	return best
}
