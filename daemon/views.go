package daemon

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/decider"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/settings"
	"github.com/bronzestall/bronzestall/upstream"
)

// relayMargin is subtracted from the time of a state that another daemon forwarded, because clocks of
// other VMs took part in measuring its age.
const relayMargin = 2 * time.Second

// engineViews provides the decider of one data centre with the states of its engines.
type engineViews struct {
	fleet      *fleet.Fleet
	dataCentre string
}

// Views returns the newest state of every engine. An engine without a received state has a zero AsOf, which
// distinguishes it from an engine that was removed.
func (views engineViews) Views() []intent.View {
	var found []intent.View
	for _, observed := range views.fleet.Entries() {
		member := observed.Member
		if member.DataCentre != views.dataCentre || member.Kind != settings.EngineKind {
			continue
		}
		found = append(found, engineView(observed))
	}
	return found
}

// engineView converts a state for the decider. An engine without a received state is included without one,
// so that the memory of its rows remains counted.
func engineView(observed *fleet.Entry) intent.View {
	if observed.State.BootID == "" {
		return intent.View{State: upstream.State{Upstream: observed.Member.Name}}
	}
	view := intent.View{
		State:         observed.State,
		AsOf:          observed.AsOf,
		ChecksFencing: observed.Member.ChecksFencing,
		ChecksBoot:    observed.Member.ChecksBoot,
	}
	view.State.Upstream = observed.Member.Name
	view.State.Leaving = observed.Leaving()
	if !observed.Direct {
		view.AsOf = observed.AsOf.Add(-relayMargin)
	}
	return view
}

// Changed returns a channel that is closed at the next change of an engine.
func (views engineViews) Changed() <-chan struct{} {
	return views.fleet.Changed()
}

// requestEngines provides the dispatcher with the clients for inference requests and for orders of adapters.
type requestEngines struct {
	*pool
}

// Engine returns the client for orders of adapters, or false if the name is not a member.
func (engines requestEngines) Engine(name string) (upstream.Engine, bool) {
	return engines.fenced(name)
}

// models is the catalogue in force in the form that the decider reads.
type models struct {
	catalogue catalogue.Catalogue
	names     []string
}

// Model returns a model in force, or false.
func (models models) Model(name string) (catalogue.Model, bool) {
	return models.catalogue.Model(name)
}

// Names returns the names of all models in force.
func (models models) Names() []string {
	return models.names
}

// modelCache converts the catalogue in force into models once for each number. It is used by the goroutine
// of the decider only.
type modelCache struct {
	state inForce
	// number is the number of cached, which is nil until a catalogue is known.
	number uint64
	cached *models
}

// current returns the models in force, or none while no catalogue is known.
func (cache *modelCache) current() decider.Catalogue {
	latest, number, ok := cache.state()
	if !ok {
		return models{}
	}
	if cache.cached != nil && cache.number == number {
		return *cache.cached
	}
	cached := models{catalogue: latest}
	for model := range latest.Models() {
		cached.names = append(cached.names, model.Name)
	}
	cache.number = number
	cache.cached = &cached
	return cached
}
