package residency

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The rules of replication.
const (
	// runningPerReplica is the number of requests in flight of a model, as a part of an engine's slots,
	// from which it gets a further replica.
	runningPerReplica = 0.25
	// busyRate is the number of requests a second from which a model is kept in several data centres.
	busyRate = 1.0
	// impatientRate is the same for callers who expect the first event sooner than a load takes. Such
	// models are few, and a rise of their demand goes on.
	impatientRate = 0.3
	// prefillShare is the part of an engine's time that prompts of one model may take before it gets a
	// further replica; the rest is for tokens, other models and bursts.
	prefillShare = 0.3
	// shortShare is the same part, and that of its slots, from which it gets one even by a load from the weight store.
	shortShare = 0.35
	// adapterCopies bounds the replicas that are given the same adapter ahead of demand.
	adapterCopies = 3
)

// The costs of a load, as seconds.
const (
	// evictionCost is the time that one unload adds to a load.
	evictionCost = 0.15
	// lossWeight is what the expected wait of later requests for an unloaded model weighs.
	lossWeight = 2.0
	// busyCost is the time that an order on its way adds, and reservedCost what it adds that room was made
	// for another model.
	busyCost     = 0.05
	reservedCost = 2.0
	// keepFresh is how long a loaded model is kept for the requests that waited for it.
	keepFresh = 1500 * time.Millisecond
)

// Planner plans orders for the engines of one service. Use New. It keeps nothing between plans.
type Planner struct {
	settings Settings
}

// New returns a planner.
func New(settings Settings) Planner {
	return Planner{settings: settings.withDefaults()}
}

// Plan returns the orders to send now, at most one for each engine that is not busy.
func (planner Planner) Plan(state *State) []Order {
	plan := &plan{planner: planner, state: state, index: state.index(), taken: map[string]bool{}}
	plan.adapters()
	plan.awaited()
	plan.replicate()
	plan.copyWeights()
	return plan.orders
}

// plan is one plan in the making.
type plan struct {
	planner Planner
	state   *State
	index   *index
	// asked lists the models that are asked for, those with most waiting first; nil until it is needed.
	asked []asked
	// taken names the engines that got an order in this plan.
	taken  map[string]bool
	orders []Order
	// storeLoads is the number of loads from the weight store that this plan adds.
	storeLoads int
}

func (plan *plan) free(engine *Engine) bool {
	return !engine.Busy && !plan.taken[engine.ID]
}

func (plan *plan) add(engine *Engine, order Order) {
	order.Engine = engine.Incarnation
	order.Address = engine.Address
	order.After = engine.Holding.Orders
	plan.taken[engine.ID] = true
	plan.orders = append(plan.orders, order)
}

// awaited loads the models that requests wait for, the quickest to help first.
func (plan *plan) awaited() {
	for _, name := range plan.names(func(demand Demand) bool { return demand.Waiting > 0 }) {
		if plan.index.holders(name) == 0 {
			plan.load(name, "Awaited", awaited, nil)
		}
	}
}

// asked is a model with the demand for it.
type asked struct {
	name string
	Demand
}

// names returns the models whose demand passes the test, those with most waiting first.
func (plan *plan) names(test func(Demand) bool) []string {
	if plan.asked == nil {
		plan.asked = plan.rankDemand()
	}
	var names []string
	for index := range plan.asked {
		if test(plan.asked[index].Demand) {
			names = append(names, plan.asked[index].name)
		}
	}
	return names
}

// rankDemand returns the models that are asked for, those with most waiting first.
func (plan *plan) rankDemand() []asked {
	ranked := make([]asked, 0, len(plan.state.Models))
	for name, demand := range plan.state.Models {
		if _, known := plan.state.Spec.Models[name]; known && demand.active() {
			ranked = append(ranked, asked{name, demand})
		}
	}
	slices.SortFunc(ranked, func(a, b asked) int {
		return cmp.Or(
			cmp.Compare(b.Waiting, a.Waiting),
			a.Oldest.Compare(b.Oldest),
			cmp.Compare(b.Rate, a.Rate),
			strings.Compare(a.name, b.name),
		)
	})
	return ranked
}
