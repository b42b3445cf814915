package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// engine is what the holder of the lease knows of one engine.
type engine struct {
	topology.Incarnation
	service, address, zone string
	// holding is what it has loaded after the orders that it accepted.
	holding topology.Holding
	// order is the order being carried out, or nil.
	order *pending
	// changed is when an order or a report last changed the holding.
	changed time.Time
	// calling states that an order or a question is on its way.
	calling bool
	// doubt states that the outcome of an order is unknown since doubtSince.
	doubt      bool
	doubtSince time.Time
	// restUntil is the time before which no order is sent, and conflicts counts refusals in a row.
	restUntil time.Time
	conflicts int
	// askAt is when the engine is asked what it holds; zero if it is not to be asked.
	askAt time.Time
	// reserved is the model for which room was made, until reservedUntil.
	reserved      string
	reservedUntil time.Time
	// arriving maps adapters, as model/adapter, to when they are expected.
	arriving map[string]time.Time
	// loadedAt maps models to when they were loaded.
	loadedAt map[string]time.Time
}

// pending is an order that an engine accepted.
type pending struct {
	residency.Order
	// sent is when it was sent and expected when it should be carried out.
	sent, expected time.Time
	// heard states that the order is a former holder's, known only from its announcement.
	heard bool
}

// descriptionLag is the age that an engine's row may have when it is received.
const descriptionLag = 2500 * time.Millisecond

func newEngine(replica *topology.Replica) *engine {
	return &engine{
		Incarnation: replica.Incarnation,
		service:     replica.Service,
		address:     replica.Address,
		zone:        replica.Zone,
		holding:     clone(replica.Holding),
		arriving:    map[string]time.Time{},
		loadedAt:    map[string]time.Time{},
	}
}

// clone returns a copy of the holding that can be changed.
func clone(holding topology.Holding) topology.Holding {
	holding.Models = slices.Clone(holding.Models)
	for index := range holding.Models {
		holding.Models[index].Adapters = slices.Clone(holding.Models[index].Adapters)
	}
	holding.InHost = slices.Clone(holding.InHost)
	holding.OnDisk = slices.Clone(holding.OnDisk)
	return holding
}

// adopt takes what a report tells of an engine about which nothing is in doubt any more. Adapters on their way take
// places as if they were loaded.
func (engine *engine) adopt(holding topology.Holding, now time.Time) {
	engine.holding = clone(holding)
	for _, adapter := range holding.Coming {
		engine.addAdapter(adapter.Model, adapter.Name, now.Add(adapterTime))
	}
}

// inherit takes up the load that a former holder announced. A report tells whether it goes on.
func (engine *engine) inherit(loading directory.Loading, now time.Time) {
	if loading.Model == "" {
		return
	}
	order := residency.Order{Engine: engine.Incarnation, Operation: residency.Load, Model: loading.Model}
	if loading.FromStore {
		order.Tier = residency.Store
	}
	engine.order = &pending{Order: order, sent: now, expected: loading.Ready, heard: true}
}

// loading returns the model on its way.
func (engine *engine) loading() directory.Loading {
	if engine.order == nil || engine.order.Operation != residency.Load {
		return directory.Loading{}
	}
	return directory.Loading{
		Model:     engine.order.Model,
		FromStore: engine.order.Tier == residency.Store,
		Ready:     engine.order.expected.Round(forecastStep),
	}
}

// settled reports whether nothing is on its way or in doubt.
func (engine *engine) settled() bool {
	return engine.order == nil && !engine.calling && !engine.doubt
}

// describe takes the engine's own row, which is older than what is known of its orders. If it differs
// long after the last order, the engine is asked.
func (engine *engine) describe(replica *topology.Replica, now time.Time) {
	engine.address = replica.Address
	if !engine.settled() || replica.ReceivedAt.Sub(engine.changed) < descriptionLag {
		return
	}
	if !engine.holding.SameModels(&replica.Holding) {
		engine.changed = now
		engine.question(now)
		return
	}
	engine.holding.InHost = slices.Clone(replica.Holding.InHost)
	engine.holding.OnDisk = slices.Clone(replica.Holding.OnDisk)
}

// carriedOut applies the order that was being carried out.
func (engine *engine) carriedOut(now time.Time) {
	done := engine.order
	engine.order = nil
	engine.askAt = time.Time{}
	if done.Operation == residency.Load {
		if _, there := engine.holding.Find(done.Model); !there {
			engine.holding.Models = append(engine.holding.Models, topology.LoadedModel{Model: done.Model})
		}
		engine.loadedAt[done.Model] = now
		engine.keepCopies(done.Model)
		return
	}
	engine.drop(done.Model)
}

// keepCopies notes that a load left copies of the weights.
func (engine *engine) keepCopies(model string) {
	if !slices.Contains(engine.holding.OnDisk, model) {
		engine.holding.OnDisk = append(engine.holding.OnDisk, model)
	}
	if !slices.Contains(engine.holding.InHost, model) {
		engine.holding.InHost = append(engine.holding.InHost, model)
	}
}

func (engine *engine) drop(model string) {
	engine.holding.Models = slices.DeleteFunc(engine.holding.Models, func(loaded topology.LoadedModel) bool {
		return loaded.Model == model
	})
	delete(engine.loadedAt, model)
}

// addAdapter notes an adapter that is expected at the time.
func (engine *engine) addAdapter(model, adapter string, expected time.Time) {
	for index := range engine.holding.Models {
		loaded := &engine.holding.Models[index]
		if loaded.Model == model && !slices.Contains(loaded.Adapters, adapter) {
			loaded.Adapters = append(loaded.Adapters, adapter)
		}
	}
	engine.arriving[model+"/"+adapter] = expected
}

func (engine *engine) dropAdapter(model, adapter string) {
	for index := range engine.holding.Models {
		loaded := &engine.holding.Models[index]
		if loaded.Model == model {
			loaded.Adapters = slices.DeleteFunc(loaded.Adapters, func(name string) bool { return name == adapter })
		}
	}
	delete(engine.arriving, model+"/"+adapter)
}

// arrived forgets the adapters that are expected to be there.
func (engine *engine) arrived(now time.Time) {
	maps.DeleteFunc(engine.arriving, func(_ string, expected time.Time) bool { return !now.Before(expected) })
}

// usable returns what requests may use: neither what is about to be unloaded nor adapters on their way.
func (engine *engine) usable() topology.Holding {
	holding := topology.Holding{Orders: engine.holding.Orders}
	for _, loaded := range engine.holding.Models {
		if engine.order != nil && engine.order.Operation == residency.Unload && engine.order.Model == loaded.Model {
			continue
		}
		next := topology.LoadedModel{Model: loaded.Model, Version: loaded.Version}
		for _, adapter := range loaded.Adapters {
			if _, coming := engine.arriving[loaded.Model+"/"+adapter]; !coming {
				next.Adapters = append(next.Adapters, adapter)
			}
		}
		holding.Models = append(holding.Models, next)
	}
	return holding
}

// view returns what the planner sees of the engine. An engine at rest gets no order, as if it were busy.
func (engine *engine) view(now time.Time, demand *totals, resting bool) *residency.Engine {
	view := &residency.Engine{
		Incarnation:     engine.Incarnation,
		Address:         engine.address,
		Zone:            engine.zone,
		Holding:         engine.holding,
		Busy:            !engine.settled() || now.Before(engine.restUntil) || resting,
		Running:         demand.running[engine.Incarnation],
		AdaptersRunning: demand.adaptersRunning[engine.Incarnation],
		LoadedAt:        engine.loadedAt,
	}
	if now.Before(engine.reservedUntil) {
		view.ReservedFor = engine.reserved
	}
	if engine.order != nil && engine.order.Operation == residency.Load {
		view.Loading = engine.order.Model
		view.LoadingTier = engine.order.Tier
		view.ReadyAt = engine.order.expected
	}
	return view
}
