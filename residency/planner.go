package residency

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/topology"
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
	shortShare = 0.5
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

// names returns the models whose demand passes the test, those with most waiting first.
func (plan *plan) names(test func(Demand) bool) []string {
	var names []string
	for name, demand := range plan.state.Models {
		if _, known := plan.state.Service.Models[name]; known && test(demand) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := plan.state.Models[a], plan.state.Models[b]
		return cmp.Or(
			cmp.Compare(second.Waiting, first.Waiting),
			first.Oldest.Compare(second.Oldest),
			cmp.Compare(second.Rate, first.Rate),
			strings.Compare(a, b),
		)
	})
	return names
}

// wanted returns the number of replicas that the demand for the model asks for.
func (plan *plan) wanted(name string) int {
	demand := plan.state.Models[name]
	perReplica := max(runningPerReplica*float64(plan.state.Service.Slots), 1)
	byRunning := float64(demand.Running+demand.Waiting) / perReplica
	byTokens := demand.Tokens / (prefillShare * plan.planner.settings.PrefillRate)
	wanted := int(math.Ceil(max(byRunning, byTokens)))
	if plan.busy(name) {
		wanted = max(wanted, plan.index.zones)
	}
	return min(wanted, len(plan.state.Engines))
}

// busy reports whether the model is asked for so often, or by callers so impatient, that each data centre keeps it.
func (plan *plan) busy(name string) bool {
	demand := plan.state.Models[name]
	model := plan.state.Service.Models[name]
	impatient := demand.Target > 0 && demand.Target < model.DiskLoad
	return demand.Rate >= busyRate || (impatient && demand.Rate >= impatientRate)
}

// replicate adds a replica to busy models that have too few, first in data centres without one.
func (plan *plan) replicate() {
	for _, name := range plan.names(func(demand Demand) bool { return demand.Rate >= impatientRate || demand.Running > 1 }) {
		if plan.index.holders(name) >= plan.wanted(name) {
			continue
		}
		served := map[string]bool{}
		for _, engine := range plan.index.loaded[name] {
			served[engine.Zone] = true
		}
		for _, engine := range plan.index.loading[name] {
			served[engine.Zone] = true
		}
		if len(served) == plan.index.zones {
			served = nil
		}
		plan.load(name, "Busy", ahead, served)
	}
}

// short reports whether the replicas of the model cannot keep up with its prompts, so that a slow load of
// a further one is worth keeping an engine from quick loads.
func (plan *plan) short(name string) bool {
	demand := plan.state.Models[name]
	needed := max(
		demand.Tokens/(shortShare*plan.planner.settings.PrefillRate),
		float64(demand.Running+demand.Waiting)/(shortShare*float64(max(plan.state.Service.Slots, 1))),
	)
	return plan.index.holders(name) > 0 && float64(plan.index.holders(name)) < needed
}

// copyWeights loads models of which no engine has a copy, so that a later load is quick.
func (plan *plan) copyWeights() {
	for _, name := range plan.uncopied() {
		if !plan.mayUseStore() {
			return
		}
		plan.load(name, "Copy", ahead, nil)
	}
}

// uncopied returns the models without a copy, the most wanted first.
func (plan *plan) uncopied() []string {
	var names []string
	for name := range plan.state.Service.Models {
		if !plan.index.copied(name) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := plan.state.Models[a], plan.state.Models[b]
		return cmp.Or(cmp.Compare(second.Rate, first.Rate), strings.Compare(a, b))
	})
	return names
}

// mayUseStore reports whether one more load from the weight store keeps its limits.
func (plan *plan) mayUseStore() bool {
	if plan.index.storeLoads+plan.storeLoads >= plan.atOnce() {
		return false
	}
	recent := plan.storeLoads
	for _, start := range plan.state.StoreStarts {
		if plan.state.Now.Sub(start) < plan.planner.settings.CeilingWindow {
			recent++
		}
	}
	allowed := plan.state.Service.LoadsPerSecond * plan.planner.settings.CeilingWindow.Seconds()
	return float64(recent+1) <= allowed
}

// atOnce returns the number of loads from the weight store at full speed, as far as known.
func (plan *plan) atOnce() int {
	if plan.state.StoreAtOnce > 0 {
		return plan.state.StoreAtOnce
	}
	return plan.planner.settings.StoreLoadsAtOnce
}

// load orders a load of the model at the engine where it is ready first, or the unload that makes room
// for it. If that engine is busy, the load waits for it. It leaves out the data centres in avoid.
func (plan *plan) load(name, reason string, purpose purpose, avoid map[string]bool) {
	model := plan.state.Service.Models[name]
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

// option returns what a load of the model at the engine would cost, and whether it is possible.
func (plan *plan) option(engine *Engine, model *topology.Model, tier Tier, purpose purpose) (option, bool) {
	victims, loss, ok := plan.room(engine, model, purpose)
	if !ok {
		return option{}, false
	}
	cost := loadTime(model, tier).Seconds() + evictionCost*float64(len(victims)) + lossWeight*loss
	if wait := engine.ReadyAt.Sub(plan.state.Now); wait > 0 {
		cost += wait.Seconds()
	}
	if !plan.free(engine) {
		cost += busyCost
	}
	if engine.Reserved != "" && engine.Reserved != model.Name {
		cost += reservedCost
	}
	if tier == Store {
		cost += plan.blocked(engine)
	}
	return option{engine, tier, victims, cost}, true
}

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
	need := engine.used(plan.state.Service.Models) + model.Weights - plan.state.Service.Memory
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
		need -= plan.state.Service.Models[next.name].Weights
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
	model := plan.state.Service.Models[name]
	quick := plan.quickest(engine, &model)
	return demand.Rate * quick.Seconds(), true
}

// quickest returns the time of a later load of the model at the engine, which keeps a copy of it.
func (plan *plan) quickest(engine *Engine, model *topology.Model) time.Duration {
	tier := tierOf(&engine.Holding, model.Name)
	if tier == Store {
		tier = Disk
	}
	return loadTime(model, tier)
}

// adapters loads the adapters that requests wait for, on engines that have their model.
func (plan *plan) adapters() {
	var names []string
	for name, demand := range plan.state.Adapters {
		if demand.Waiting > 0 {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		first, second := plan.state.Adapters[a], plan.state.Adapters[b]
		return cmp.Or(first.Oldest.Compare(second.Oldest), strings.Compare(a, b))
	})
	for _, name := range names {
		model, adapter, _ := strings.Cut(name, "/")
		plan.adapter(model, adapter)
	}
	plan.adaptersAhead()
}

// adaptersAhead fills free places with adapters of busy models, so that they serve also while nobody may
// send orders. Each data centre gets its own copies, the rarest adapters first.
func (plan *plan) adaptersAhead() {
	asked := map[string]bool{}
	for name := range plan.state.Adapters {
		model, _, _ := strings.Cut(name, "/")
		asked[model] = true
	}
	for _, name := range plan.names(func(demand Demand) bool { return demand.Rate >= busyRate }) {
		if !asked[name] {
			continue
		}
		for _, engine := range plan.index.loaded[name] {
			if plan.free(engine) && plan.adapterRoom(engine, name) {
				plan.adapterAhead(engine, name)
			}
		}
	}
}

// adapterAhead loads the adapter of the model on the engine that has the fewest copies elsewhere.
func (plan *plan) adapterAhead(engine *Engine, model string) {
	loaded, _ := engine.Holding.Find(model)
	best, fewest := "", adapterCopies
	for number := range plan.state.Service.Models[model].Adapters {
		adapter := fmt.Sprintf("a%d", number+1)
		if slices.Contains(loaded.Adapters, adapter) {
			continue
		}
		if count, own := plan.adapterCopies(model, adapter, engine.Zone); !own && count < fewest {
			best, fewest = adapter, count
		}
	}
	if best != "" {
		plan.add(engine, Order{Operation: Load, Model: model, Adapter: best, Reason: "AdapterAhead"})
	}
}

// adapterCopies returns the number of engines that have the adapter, and whether one of the data centre has it.
func (plan *plan) adapterCopies(model, adapter, zone string) (count int, own bool) {
	for _, engine := range plan.index.loaded[model] {
		if engine.Holding.Has(model, adapter) {
			count++
			own = own || engine.Zone == zone
		}
	}
	for _, order := range plan.orders {
		if order.Operation == Load && order.Model == model && order.Adapter == adapter {
			count++
		}
	}
	return count, own
}

// adapterRoom reports whether one more adapter of the model fits on the engine.
func (plan *plan) adapterRoom(engine *Engine, model string) bool {
	size := plan.state.Service.Models[model].AdapterBytes
	return engine.Holding.AdapterCount() < plan.state.Service.MaxAdapters &&
		engine.used(plan.state.Service.Models)+size <= plan.state.Service.Memory
}

// adapter loads one adapter on the engine that its name prefers among those free, or makes room for it.
func (plan *plan) adapter(model, adapter string) {
	var best *Engine
	bestWeight := uint64(0)
	for _, engine := range plan.index.loaded[model] {
		if engine.Holding.Has(model, adapter) {
			return
		}
		if !plan.free(engine) {
			continue
		}
		weight := xxhash.Sum64String(model + "/" + adapter + "/" + engine.ID)
		if plan.adapterRoom(engine, model) {
			weight |= 1 << 63
		} else {
			weight &^= 1 << 63
		}
		if best == nil || weight > bestWeight {
			best, bestWeight = engine, weight
		}
	}
	if best == nil {
		return
	}
	if !plan.adapterRoom(best, model) {
		if old, other, ok := plan.idleAdapter(best); ok {
			plan.add(best, Order{Operation: Unload, Model: old, Adapter: other, Reason: "AdapterMakeRoom"})
		}
		return
	}
	plan.add(best, Order{Operation: Load, Model: model, Adapter: adapter, Reason: "AdapterAwaited"})
}

// idleAdapter returns the adapter of the engine that was used least recently and that no request uses.
func (plan *plan) idleAdapter(engine *Engine) (model, adapter string, ok bool) {
	var oldest time.Time
	for _, loaded := range engine.Holding.Models {
		for _, name := range loaded.Adapters {
			key := loaded.Model + "/" + name
			demand := plan.state.Adapters[key]
			if engine.AdaptersRunning[key] > 0 || demand.Waiting > 0 {
				continue
			}
			if !ok || demand.Used.Before(oldest) {
				model, adapter, oldest, ok = loaded.Model, name, demand.Used, true
			}
		}
	}
	return model, adapter, ok
}
