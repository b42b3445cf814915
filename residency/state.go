package residency

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// State is what a plan is made from. The planner does not keep it.
type State struct {
	// Spec describes the engines and models.
	Spec topology.EngineSpec
	// Engines lists the engines that take orders, ordered by identifier.
	Engines []*Engine
	// Models maps models to their demand and Adapters does so for model/adapter.
	Models, Adapters map[string]Demand
	// StoreLoadStarts lists the starts of loads from the weight store of the last seconds.
	StoreLoadStarts []time.Time
	// StoreLimit is the number of loads from the weight store that were seen at full speed; zero if unknown.
	StoreLimit int
	// Now is the time of the plan.
	Now time.Time
}

// awaited reports whether requests wait for a model.
func (state *State) awaited() bool {
	for _, demand := range state.Models {
		if demand.Waiting > 0 {
			return true
		}
	}
	return false
}

// index is what a plan looks up by model.
type index struct {
	loaded, loading map[string][]*Engine
	// copies maps models to the engines that have a copy of the weights and do not have them loaded.
	copies map[string][]*Engine
	// storeLoads is the number of loads from the weight store on their way.
	storeLoads int
	// zones is the number of data centres with engines.
	zones int
}

// index makes the look-ups. Its cost grows with the number of engines and of their copies.
func (state *State) index() *index {
	made := &index{loaded: map[string][]*Engine{}, loading: map[string][]*Engine{}, copies: map[string][]*Engine{}}
	zones := map[string]bool{}
	for _, engine := range state.Engines {
		zones[engine.Zone] = true
		for _, loaded := range engine.Holding.Models {
			made.loaded[loaded.Model] = append(made.loaded[loaded.Model], engine)
		}
		if engine.Loading != "" && !engine.Holding.Has(engine.Loading, "") {
			made.loading[engine.Loading] = append(made.loading[engine.Loading], engine)
			if engine.LoadingTier == Store {
				made.storeLoads++
			}
		}
		made.addCopies(engine)
	}
	made.zones = len(zones)
	return made
}

// addCopies notes the copies of the engine.
func (index *index) addCopies(engine *Engine) {
	add := func(model string) {
		if !engine.Holding.Has(model, "") && engine.Loading != model {
			index.copies[model] = append(index.copies[model], engine)
		}
	}
	for _, model := range engine.Holding.OnDisk {
		add(model)
	}
	for _, model := range engine.Holding.InHost {
		if !slices.Contains(engine.Holding.OnDisk, model) {
			add(model)
		}
	}
}

// holders returns the number of engines that have the model or on which it is on its way.
func (index *index) holders(model string) int {
	return len(index.loaded[model]) + len(index.loading[model])
}

// copied reports whether an engine has the weights of the model in any tier but the store, or soon will.
func (index *index) copied(model string) bool {
	return index.holders(model) > 0 || len(index.copies[model]) > 0
}
