package residency

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
)

// Forecast is when a model is expected to be loaded.
type Forecast struct {
	// Model is the model.
	Model string
	// Ready is the expected time.
	Ready time.Time
}

// Key names the model of the service.
func (forecast Forecast) Key(service string) demand.Key {
	return demand.Key{Service: service, Model: forecast.Model}
}

// Forecasts returns when the models on their way, and those that requests wait for, will be loaded.
func (planner Planner) Forecasts(state *State) []Forecast {
	if !state.awaited() {
		return nil
	}
	var forecasts []Forecast
	plan := &plan{planner: planner, state: state, index: state.index()}
	queued := plan.index.storeLoads
	for _, name := range plan.names(func(demand Demand) bool { return demand.Waiting > 0 }) {
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

// expected returns when a model that is not on its way can be loaded, with a number of loads from the
// weight store before it, and whether it comes from there.
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
	rounds := queued/plan.atOnce() + 1
	return now.Add(time.Duration(rounds) * model.StoreLoad), true
}
