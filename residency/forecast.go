package residency

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// Forecast is the time at which a model is expected to be loaded.
type Forecast struct {
	// Model is the name of the model.
	Model string
	// Ready is the expected time.
	Ready time.Time
}

// Key returns the key of the model in the service.
func (forecast Forecast) Key(service string) demand.Key {
	return demand.Key{Service: service, Model: forecast.Model}
}

// Forecasts returns the expected load time of every model that requests wait for, or were refused for, and that is not
// loaded yet.
func (planner Planner) Forecasts(state *State) []Forecast {
	if !state.hasWanted() {
		return nil
	}
	var forecasts []Forecast
	plan := newPlan(planner, state)
	queue := plan.newLoadQueue()
	for _, name := range plan.modelsWhere(func(demand Demand) bool { return demand.wanted() }) {
		switch loading := plan.index.loading[name]; {
		case len(plan.index.loaded[name]) > 0:
		case len(loading) > 0:
			first := slices.MinFunc(loading, func(a, b *Engine) int { return a.ReadyAt.Compare(b.ReadyAt) })
			forecasts = append(forecasts, Forecast{name, first.ReadyAt})
		default:
			forecasts = append(forecasts, Forecast{name, queue.add(name)})
		}
	}
	return forecasts
}

// loadQueue is the order in which loads that are not sent yet will take their turns.
type loadQueue struct {
	*plan
	// busyUntil maps engines to the end of the load in progress and of those queued there.
	busyUntil map[*Engine]time.Time
	// storeFree lists when each of the concurrent loads from the weight store ends, the earliest first.
	storeFree []time.Time
	// storeStarts lists the recent and the queued starts of loads from the weight store, the earliest first.
	storeStarts []time.Time
}

// newLoadQueue returns a queue behind the loads in progress.
func (plan *plan) newLoadQueue() *loadQueue {
	queue := &loadQueue{plan: plan, busyUntil: map[*Engine]time.Time{}}
	for _, engine := range plan.state.Engines {
		if engine.Loading == "" || !engine.ReadyAt.After(plan.state.Now) {
			continue
		}
		queue.busyUntil[engine] = engine.ReadyAt
		if engine.LoadingTier == Store {
			queue.storeFree = append(queue.storeFree, engine.ReadyAt)
		}
	}
	limit := max(plan.storeLimit(), 1)
	for len(queue.storeFree) < limit {
		queue.storeFree = append(queue.storeFree, plan.state.Now)
	}
	slices.SortFunc(queue.storeFree, time.Time.Compare)
	// Above the limit, only the last loads to end make room for the next one.
	queue.storeFree = queue.storeFree[len(queue.storeFree)-limit:]
	queue.storeStarts = slices.SortedFunc(slices.Values(plan.state.StoreLoadStarts), time.Time.Compare)
	return queue
}

// add returns when the model will be loaded: on the engine with a copy that has it first, or else from the weight store
// in turn.
func (queue *loadQueue) add(name string) time.Time {
	model := queue.state.Spec.Models[name]
	var best *Engine
	var first time.Time
	for _, engine := range queue.index.copies[name] {
		begin := queue.state.Now
		if until := queue.busyUntil[engine]; until.After(begin) {
			begin = until
		}
		tier := tierOf(&engine.Holding, name)
		if ready := begin.Add(tier.Duration(&model)); best == nil || ready.Before(first) {
			best, first = engine, ready
		}
	}
	if best == nil {
		return queue.addFromStore(&model)
	}
	queue.busyUntil[best] = first
	return first
}

// addFromStore returns when the model will be loaded from the weight store, behind the loads ahead of it.
func (queue *loadQueue) addFromStore(model *topology.Model) time.Time {
	begin := queue.state.Now
	if queue.storeFree[0].After(begin) {
		begin = queue.storeFree[0]
	}
	if allowed := queue.rateAllows(); allowed.After(begin) {
		begin = allowed
	}
	ready := begin.Add(model.StoreLoad)
	queue.storeStarts = append(queue.storeStarts, begin)
	queue.storeFree[0] = ready
	slices.SortFunc(queue.storeFree, time.Time.Compare)
	return ready
}

// rateAllows returns when the rate limit of the weight store allows the next load; zero if it does now.
func (queue *loadQueue) rateAllows() time.Time {
	window := queue.planner.settings.LoadWindow
	allowed := max(int(queue.state.Spec.LoadsPerSecond*window.Seconds()), 1)
	if len(queue.storeStarts) < allowed {
		return time.Time{}
	}
	return queue.storeStarts[len(queue.storeStarts)-allowed].Add(window)
}
