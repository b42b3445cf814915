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

// relayMargin is taken from the time of a state that another daemon relayed, whose age was
// measured by clocks of other VMs, too.
const relayMargin = 2 * time.Second

// engineViews gives the decider of one data centre the states of its engines.
type engineViews struct {
	fleet      *fleet.Fleet
	dataCentre string
}

// Views returns the newest state of every engine; one that was never heard has a zero AsOf, so
// that it is told from one that is gone.
func (views engineViews) Views() []intent.View {
	var found []intent.View
	for _, known := range views.fleet.Entries() {
		member := known.Member
		if member.DataCentre != views.dataCentre || member.Kind != settings.EngineKind {
			continue
		}
		found = append(found, engineView(known))
	}
	return found
}

// engineView returns what the decider may conclude from. An engine that was not heard of is shown
// without a state, so that its rows stay counted.
func engineView(known *fleet.Entry) intent.View {
	if known.State.BootID == "" {
		return intent.View{State: upstream.State{Upstream: known.Member.Name}}
	}
	view := intent.View{
		State:         known.State,
		AsOf:          known.AsOf,
		ChecksFencing: known.Member.ChecksFencing,
		ChecksBoot:    known.Member.ChecksBoot,
	}
	view.State.Upstream = known.Member.Name
	view.State.Leaving = known.Leaving()
	if !known.Direct {
		view.AsOf = known.AsOf.Add(-relayMargin)
	}
	return view
}

// Changed is closed at the next change of an engine.
func (views engineViews) Changed() <-chan struct{} {
	return views.fleet.Changed()
}

// requestEngines gives the dispatcher the request side of engines, and their order side for adapters.
type requestEngines struct {
	*pool
}

// Engine returns the engine for orders of adapters, or false if its address is not known.
func (engines requestEngines) Engine(name string) (upstream.Engine, bool) {
	return engines.fenced(name)
}

// models is one catalogue in force as the decider reads it.
type models struct {
	catalogue catalogue.Catalogue
	names     []string
}

// Model returns a model in force.
func (models models) Model(name string) (catalogue.Model, bool) {
	return models.catalogue.Model(name)
}

// Names returns the names of all models in force.
func (models models) Names() []string {
	return models.names
}

// modelCache makes models of the catalogue in force once for each number.
type modelCache struct {
	state inForce
	// number and made belong together; made is nil until a state is known. The decider's goroutine owns them.
	number uint64
	made   *models
}

// current returns the models in force, or none while no state is known.
func (cache *modelCache) current() decider.Catalogue {
	known, number, ok := cache.state()
	if !ok {
		return models{}
	}
	if cache.made != nil && cache.number == number {
		return *cache.made
	}
	made := models{catalogue: known}
	for model := range known.Models() {
		made.names = append(made.names, model.Name)
	}
	cache.number = number
	cache.made = &made
	return made
}
