package residency

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// State is what a plan is made from. The planner does not keep it.
type State struct {
	// Service describes the engines and models.
	Service topology.Engine
	// Engines lists the engines that take orders, ordered by identifier.
	Engines []*Engine
	// Models maps models to their demand and Adapters does so for model/adapter.
	Models, Adapters map[string]Demand
	// StoreStarts lists the starts of loads from the weight store of the last seconds.
	StoreStarts []time.Time
	// Now is the time of the plan.
	Now time.Time
}

// holders returns the engines that have the model, and those on which it is on its way.
func (state *State) holders(model string) (loaded, loading []*Engine) {
	for _, engine := range state.Engines {
		if _, ok := engine.Holding.Find(model); ok {
			loaded = append(loaded, engine)
			continue
		}
		if engine.Loading == model {
			loading = append(loading, engine)
		}
	}
	return loaded, loading
}

// copied reports whether an engine has the weights of the model in any tier but the store, or soon will.
func (state *State) copied(model string) bool {
	for _, engine := range state.Engines {
		if _, ok := engine.Holding.Find(model); ok || engine.Loading == model || tierOf(&engine.Holding, model) != Store {
			return true
		}
	}
	return false
}

// storeLoads returns the number of loads from the weight store on their way.
func (state *State) storeLoads() int {
	count := 0
	for _, engine := range state.Engines {
		if engine.Loading != "" && engine.LoadingTier == Store {
			count++
		}
	}
	return count
}
