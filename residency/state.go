package residency

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// State is the input of a plan. The planner does not keep it.
type State struct {
	// Spec describes the engines and models of the service.
	Spec topology.EngineSpec
	// Engines lists the engines that accept orders, ordered by identifier.
	Engines []*Engine
	// Models maps models to their demand, and Adapters does so for model/adapter.
	Models, Adapters map[string]Demand
	// StoreLoadStarts lists the start times of recent loads from the weight store.
	StoreLoadStarts []time.Time
	// StoreLimit is the measured number of loads that the weight store serves at full speed; zero if unknown.
	StoreLimit int
	// Now is the time of the plan.
	Now time.Time
}

// hasWanted reports whether any model is wanted.
func (state *State) hasWanted() bool {
	for _, demand := range state.Models {
		if demand.wanted() {
			return true
		}
	}
	return false
}

// limitShare is the share of the limit of an engine that its models may demand.
const limitShare = 0.8

// exhausted reports whether the models that the engine holds are demanded more often than its limit allows. Such an
// engine serves what it can, but does not count as a replica of a model, and gets no loads.
func (state *State) exhausted(engine *Engine) bool {
	if engine.Limit == 0 {
		return false
	}
	rate := 0.0
	for _, loaded := range engine.Holding.Models {
		rate += state.Models[loaded.Model].Rate
	}
	return rate > limitShare*engine.Limit
}

// index holds the look-ups of a plan by model.
type index struct {
	// loaded and loading list the engines that hold and load a model, without exhausted ones.
	loaded, loading map[string][]*Engine
	// targets lists the engines that may get loads: all but exhausted ones.
	targets []*Engine
	// exhausted lists the exhausted engines that hold a model.
	exhausted map[string][]*Engine
	// copies maps models to the engines that have a copy of the weights and neither hold nor load the model, without
	// exhausted ones.
	copies map[string][]*Engine
	// leaving counts the engines from which a model is being unloaded, and reserved the busy ones with memory for it.
	leaving, reserved map[string]int
	// storeLoads is the number of loads from the weight store in progress.
	storeLoads int
	// zones is the number of data centres with engines.
	zones int
}

// index builds the look-ups. The cost is linear in the number of engines and their copies.
func (state *State) index() *index {
	models := len(state.Spec.Models)
	made := &index{
		loaded: make(map[string][]*Engine, models), loading: map[string][]*Engine{}, copies: make(map[string][]*Engine, models),
		exhausted: map[string][]*Engine{}, leaving: map[string]int{}, reserved: map[string]int{},
	}
	zones := map[string]bool{}
	for _, engine := range state.Engines {
		zones[engine.Zone] = true
		loads := engine.Loading != "" && !engine.Holding.Has(engine.Loading, "")
		if loads && engine.LoadingTier == Store {
			made.storeLoads++
		}
		if state.exhausted(engine) {
			made.addExhausted(engine)
			continue
		}
		made.targets = append(made.targets, engine)
		for _, loaded := range engine.Holding.Models {
			made.loaded[loaded.Model] = append(made.loaded[loaded.Model], engine)
		}
		if engine.Unloading != "" {
			made.leaving[engine.Unloading]++
		}
		if engine.Busy && engine.ReservedFor != "" && !loads && !engine.Holding.Has(engine.ReservedFor, "") {
			made.reserved[engine.ReservedFor]++
		}
		if loads {
			made.loading[engine.Loading] = append(made.loading[engine.Loading], engine)
		}
		made.addCopies(engine)
	}
	made.zones = len(zones)
	return made
}

// addExhausted adds the exhausted engine to the holders of its models.
func (index *index) addExhausted(engine *Engine) {
	for _, loaded := range engine.Holding.Models {
		index.exhausted[loaded.Model] = append(index.exhausted[loaded.Model], engine)
	}
}

// holders returns the engines that hold the model: exhausted ones only if there are no others.
func (index *index) holders(model string) []*Engine {
	if loaded := index.loaded[model]; len(loaded) > 0 {
		return loaded
	}
	return index.exhausted[model]
}

// addCopies adds the engine to the copies of its models.
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

// replicaCount returns the number of engines that have the model loaded or are loading it.
func (index *index) replicaCount(model string) int {
	return len(index.loaded[model]) + len(index.loading[model])
}

// hasCopy reports whether any engine has the weights of the model or is loading them.
func (index *index) hasCopy(model string) bool {
	return index.replicaCount(model) > 0 || len(index.copies[model]) > 0
}
