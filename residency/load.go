package residency

import (
	"math"

	"github.com/bronzestall/bronzestall/topology"
)

// load plans a load of the model on the engine with the lowest cost, or an unload that frees memory for it. If
// that engine is busy nothing is planned, so that the load waits for it. Data centres in avoid are left out. It returns
// why nothing was planned; None if something was, or if memory for the model is being freed.
func (plan *plan) load(name, reason string, purpose purpose, avoid map[string]bool) Cause {
	model := plan.state.Spec.Models[name]
	best := plan.cheapest(&model, purpose, avoid)
	switch {
	case best.engine != nil && plan.available(best.engine):
		plan.order(best, name, reason)
		return None
	case plan.index.reserved[name] > 0:
		return None
	case best.engine != nil:
		return EngineBusy
	case plan.index.hasCopy(name) || plan.mayUseStore():
		return NoRoom
	default:
		return StoreBusy
	}
}

// order plans what the option needs next: the unload of a victim, or the load of the model.
func (plan *plan) order(best option, name, reason string) {
	if len(best.victims) > 0 {
		plan.addOrder(best.engine, Order{Operation: Unload, Model: best.victims[0], For: name, Reason: reason + "MakeRoom"})
		return
	}
	if best.tier == Store {
		plan.storeLoads++
	}
	plan.addOrder(best.engine, Order{Operation: Load, Model: name, Tier: best.tier, Reason: reason})
}

// option is one way to load a model.
type option struct {
	engine  *Engine
	tier    Tier
	victims []string
	// loss is the value of the victims, in seconds of expected waiting per second.
	loss float64
	cost float64
}

// option returns the cost of loading the model on the engine, in seconds, and whether that is possible.
func (plan *plan) option(engine *Engine, model *topology.Model, tier Tier, purpose purpose) (option, bool) {
	victims, loss, ok := plan.selectVictims(engine, model, purpose)
	if !ok {
		return option{}, false
	}
	cost := tier.Duration(model).Seconds() + evictionCost*float64(len(victims)) + lossWeight*loss + plan.speedCost(engine, model.Name)
	if wait := engine.ReadyAt.Sub(plan.state.Now); wait > 0 {
		cost += wait.Seconds()
	}
	if !plan.available(engine) {
		cost += busyCost
	}
	if engine.ReservedFor != "" && engine.ReservedFor != model.Name {
		cost += reservedCost
	}
	if tier == Store {
		cost += plan.occupancyCost(engine)
	}
	return option{engine, tier, victims, loss, cost}, true
}

// purpose is the reason for a load. It decides which models may be unloaded for it.
type purpose int

const (
	// onDemand loads serve requests that wait.
	onDemand purpose = iota
	// prefetch loads serve later requests. They unload no popular model that still has value.
	prefetch
	// relief loads serve requests of a model whose replicas are full. They unload no last copy that was used lately, and
	// nothing that is worth more than they are.
	relief
)

// cheapest returns the cheapest option over all engines that may get loads, including busy ones. The weight store is used only if no
// engine has a copy of the model, or if its replicas are overloaded and no engine with a copy can load it.
func (plan *plan) cheapest(model *topology.Model, purpose purpose, avoid map[string]bool) option {
	best := plan.cheapestOf(plan.index.copies[model.Name], model, purpose, avoid)
	if best.engine != nil || !plan.mayUseStore() {
		return best
	}
	if !plan.index.hasCopy(model.Name) || plan.overloaded(model.Name) {
		return plan.cheapestOf(plan.index.targets, model, purpose, avoid)
	}
	return best
}

// cheapestOf returns the cheapest option over the given engines.
func (plan *plan) cheapestOf(engines []*Engine, model *topology.Model, purpose purpose, avoid map[string]bool) option {
	best := option{cost: math.Inf(1)}
	for _, engine := range engines {
		tier := tierOf(&engine.Holding, model.Name)
		if avoid[engine.Zone] || (tier == Store && !plan.available(engine)) {
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
