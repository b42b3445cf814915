package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The thresholds of replication.
const (
	// inFlightShare is the number of requests in flight per replica, as a fraction of an engine's slots, above
	// which a model gets a further replica.
	inFlightShare = 0.25
	// popularRate is the number of requests per second from which a model is kept in every data centre.
	popularRate = 1.0
	// latencySensitiveRate replaces popularRate for callers who expect the first event sooner than a load from
	// disk takes. Few models have such callers, and their demand tends to keep rising once it rises.
	latencySensitiveRate = 0.3
	// prefillShare is the fraction of an engine's time that prompts of one model may take before it gets a further
	// replica. The rest is left for generation, other models and bursts.
	prefillShare = 0.3
	// overloadShare is the fraction of prompt time, or of slots, from which a further replica is worth a slow load
	// from the weight store.
	overloadShare = 0.35
	// maxAdapterCopies bounds the copies of one adapter that are made by prefetching.
	maxAdapterCopies = 3
)

// The costs of a load, in seconds unless stated otherwise.
const (
	// evictionCost is the time that one unload adds to a load.
	evictionCost = 0.15
	// lossWeight is the factor for the expected waiting time that unloading a model causes to its later requests.
	lossWeight = 2.0
	// busyCost is added if the engine has an order in progress, and reservedCost if its free memory is reserved
	// for another model.
	busyCost     = 0.05
	reservedCost = 2.0
	// recentUse is the time since the last request in which the last loaded copy of a model is unloaded only for a model
	// that requests wait for and that fits nowhere else. quietTime is the one in which it is not unloaded even for those,
	// unless they have waited for longPatience.
	recentUse    = 6 * time.Second
	quietTime    = 2 * time.Second
	longPatience = time.Second
	// lastCopyCost is added for the unload of such a copy.
	lastCopyCost = 2.0
	// minResidency is the minimum time that a model stays loaded, so that the requests that waited for it can run.
	minResidency = 1500 * time.Millisecond
)

// Planner plans orders for the engines of one service. It has no state between plans. Use New.
type Planner struct {
	settings Settings
}

// New returns a planner with the settings. Zero fields get their defaults.
func New(settings Settings) Planner {
	return Planner{settings: settings.withDefaults()}
}

// Plan returns the orders to send now, at most one for each engine that is not busy.
func (planner Planner) Plan(state *State) []Order {
	return planner.Decide(state).Orders
}

// Decision is the result of a plan.
type Decision struct {
	// Orders lists the orders to send now, at most one for each engine that is not busy.
	Orders []Order
	// Shortages lists the models that need a copy and get no order for it.
	Shortages []Shortage
}

// Decide returns the orders to send now, and the models for which nothing can be done.
func (planner Planner) Decide(state *State) Decision {
	plan := newPlan(planner, state)
	plan.loadAwaitedAdapters()
	plan.loadAwaited()
	plan.relieve()
	plan.replicate()
	plan.copyWeights()
	return Decision{Orders: plan.orders, Shortages: plan.shortages}
}

func newPlan(planner Planner, state *State) *plan {
	return &plan{
		planner: planner, state: state, index: state.index(),
		taken: map[string]bool{}, unloads: map[string]int{}, ordered: map[string]int{}, facts: map[string]*facts{},
	}
}

// plan is the state while one plan is made.
type plan struct {
	planner Planner
	state   *State
	index   *index
	// ranked lists the models with demand, those with the most waiting requests first; nil until it is computed.
	ranked []*rankedModel
	// taken holds the engines that have an order in this plan.
	taken  map[string]bool
	orders []Order
	// storeLoads is the number of loads from the weight store in this plan.
	storeLoads int
	// unloads counts the unloads of each model in this plan, and ordered the copies that it brings or makes room for.
	unloads, ordered map[string]int
	// facts holds the facts of models that were asked for.
	facts map[string]*facts
	// relieved holds the models whose replicas are full; relieve has ordered copies of them.
	relieved map[string]bool
	// storeSearches counts the searches for an engine for a load from the weight store.
	storeSearches int
	// shortages lists the models that need a copy and get no order for it.
	shortages []Shortage
}

func (plan *plan) available(engine *Engine) bool {
	return !engine.Busy && !plan.taken[engine.ID]
}

func (plan *plan) addOrder(engine *Engine, order Order) {
	order.Engine = engine.Incarnation
	order.Address = engine.Address
	order.After = engine.Holding.Orders
	plan.taken[engine.ID] = true
	switch {
	case order.Adapter != "":
	case order.Operation == Load:
		plan.ordered[order.Model]++
	default:
		plan.unloads[order.Model]++
		delete(plan.facts, order.Model)
		plan.ordered[order.For]++
	}
	plan.orders = append(plan.orders, order)
}

// loadAwaited plans loads of the models that requests wait for or were refused for, those with the most waiting requests
// first.
func (plan *plan) loadAwaited() {
	for _, name := range plan.modelsWhere(func(demand Demand) bool { return demand.wanted() }) {
		if plan.index.replicaCount(name) == 0 {
			plan.noteShortage(name, 1, plan.load(name, "Awaited", onDemand, nil))
		}
	}
}

// rankedModel is a model with its demand.
type rankedModel struct {
	name string
	Demand
}

// modelsWhere returns the models whose demand fulfils the condition, those with the most waiting requests first.
func (plan *plan) modelsWhere(condition func(Demand) bool) []string {
	if plan.ranked == nil {
		plan.ranked = plan.rankModels()
	}
	var names []string
	for _, ranked := range plan.ranked {
		if condition(ranked.Demand) {
			names = append(names, ranked.name)
		}
	}
	return names
}

// rankModels returns the known models with active demand, those with the most waiting requests first.
func (plan *plan) rankModels() []*rankedModel {
	models := make([]rankedModel, 0, len(plan.state.Models))
	for name, demand := range plan.state.Models {
		if !demand.active() {
			continue
		}
		if _, known := plan.state.Spec.Models[name]; known {
			models = append(models, rankedModel{name, demand})
		}
	}
	ranked := make([]*rankedModel, len(models))
	for i := range models {
		ranked[i] = &models[i]
	}
	slices.SortFunc(ranked, (*rankedModel).compare)
	return ranked
}

// compare orders models by waiting requests, the longest wait, rate and name. It compares no more than it has to, since it
// is called thousands of times in a step.
func (model *rankedModel) compare(other *rankedModel) int {
	if order := cmp.Compare(other.Waiting, model.Waiting); order != 0 {
		return order
	}
	if order := model.Oldest.Compare(other.Oldest); order != 0 {
		return order
	}
	if order := cmp.Compare(other.Rate, model.Rate); order != 0 {
		return order
	}
	return strings.Compare(model.name, other.name)
}
