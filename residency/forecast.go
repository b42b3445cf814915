package residency

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
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

// Forecasts returns the expected load time of every model that requests wait for and that is not loaded yet.
func (planner Planner) Forecasts(state *State) []Forecast {
	if !state.hasWanted() {
		return nil
	}
	var forecasts []Forecast
	plan := newPlan(planner, state)
	queued := plan.index.storeLoads
	for _, name := range plan.modelsWhere(func(demand Demand) bool { return demand.wanted() }) {
		switch loading := plan.index.loading[name]; {
		case len(plan.index.loaded[name]) > 0:
		case len(loading) > 0:
			forecasts = append(forecasts, Forecast{name, loading[0].ReadyAt})
		default:
			ready, fromStore := plan.expected(name, queued)
			if fromStore {
				queued++
			}
			forecasts = append(forecasts, Forecast{name, ready})
		}
	}
	return forecasts
}

// expected returns the expected load time of a model that is not being loaded, and whether it comes from the
// weight store. queued is the number of loads from the weight store ahead of it.
func (plan *plan) expected(name string, queued int) (time.Time, bool) {
	model := plan.state.Spec.Models[name]
	now := plan.state.Now
	best := time.Time{}
	for _, engine := range plan.index.copies[name] {
		tier := tierOf(&engine.Holding, name)
		begin := now
		if engine.ReadyAt.After(now) {
			begin = engine.ReadyAt
		}
		if ready := begin.Add(tier.Duration(&model)); best.IsZero() || ready.Before(best) {
			best = ready
		}
	}
	if !best.IsZero() {
		return best, false
	}
	rounds := queued/plan.storeLimit() + 1
	return now.Add(time.Duration(rounds) * model.StoreLoad), true
}
