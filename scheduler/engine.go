package scheduler

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// engine is the state of one engine as known to the holder of the lease.
type engine struct {
	topology.Incarnation
	service, address, zone string
	// holding is the content of the engine. Unloads and adapter orders count from acceptance, model loads from
	// completion.
	holding topology.Holding
	// order is the accepted order in progress, or nil.
	order *pendingOrder
	// sent is the order in flight, or of unknown outcome until sentUntil; nil if there is none.
	sent      *pendingOrder
	sentUntil time.Time
	// changedAt is when an order or a report last changed the holding.
	changedAt time.Time
	// callInFlight is set while an order or a query is in flight.
	callInFlight bool
	// uncertain is set while the content of the engine is unknown, since uncertainSince. A report that shows no further
	// order settles it once settleAfter has passed since then.
	uncertain      bool
	uncertainSince time.Time
	settleAfter    time.Duration
	// backoffUntil is the time before which no order is sent.
	backoffUntil time.Time
	// queryAt is when the engine is to be queried; zero if no query is due.
	queryAt time.Time
	// reservedFor is the model for which another one was unloaded, until reservedUntil.
	reservedFor   string
	reservedUntil time.Time
	// adaptersLoading maps adapters, as model/adapter, to the expected end of their loads.
	adaptersLoading map[string]time.Time
	// loadedAt maps models to the time at which their load completed.
	loadedAt map[string]time.Time
}

// pendingOrder is an order that an engine accepted and has not completed.
type pendingOrder struct {
	residency.Order
	// sent is when the order was sent, and expected when it is expected to complete.
	sent, expected time.Time
	// inherited is set if a former holder sent the order, so that only its announcement is known.
	inherited bool
}

func newEngine(replica *topology.Replica) *engine {
	return &engine{
		Incarnation:     replica.Incarnation,
		service:         replica.Service,
		address:         replica.Address,
		zone:            replica.Zone,
		holding:         cloneHolding(replica.Holding),
		adaptersLoading: map[string]time.Time{},
		loadedAt:        map[string]time.Time{},
	}
}

// cloneHolding returns a deep copy of the holding.
func cloneHolding(holding topology.Holding) topology.Holding {
	holding.Models = slices.Clone(holding.Models)
	for index := range holding.Models {
		holding.Models[index].Adapters = slices.Clone(holding.Models[index].Adapters)
	}
	holding.InHost = slices.Clone(holding.InHost)
	holding.OnDisk = slices.Clone(holding.OnDisk)
	return holding
}

// setHolding replaces the holding by a report of an engine without pending orders. Adapters that are being loaded
// occupy slots as loaded ones do.
func (engine *engine) setHolding(holding topology.Holding, now time.Time) {
	engine.holding = cloneHolding(holding)
	for _, adapter := range holding.Coming {
		engine.addAdapter(adapter.Model, adapter.Name, now.Add(adapterLoadDuration))
	}
}

// inheritLoad records the load that a former holder announced. A later report shows whether it is still in
// progress.
func (engine *engine) inheritLoad(loading directory.Loading, now time.Time) {
	if loading.Model == "" {
		return
	}
	order := residency.Order{Engine: engine.Incarnation, Operation: residency.Load, Model: loading.Model}
	if loading.FromStore {
		order.Tier = residency.Store
	}
	engine.order = &pendingOrder{Order: order, sent: now, expected: loading.Ready, inherited: true}
}

// loading returns the model load in progress, or the zero value.
func (engine *engine) loading() directory.Loading {
	if engine.order == nil || engine.order.Operation != residency.Load {
		return directory.Loading{}
	}
	return directory.Loading{
		Model:     engine.order.Model,
		FromStore: engine.order.Tier == residency.Store,
		Ready:     engine.order.expected.Round(forecastRounding),
	}
}

// settled reports whether no order is pending, no call is in flight and the last outcome is known.
func (engine *engine) settled() bool {
	return engine.order == nil && !engine.callInFlight && !engine.uncertain
}

// applyDescription updates the engine from its own row, which lags behind its orders. If a row that was certainly
// written after the last change still differs, the engine is queried.
func (engine *engine) applyDescription(replica *topology.Replica, now time.Time) {
	engine.address = replica.Address
	if !engine.settled() || replica.MayPredate(engine.changedAt) {
		return
	}
	if !engine.holding.SameModels(&replica.Holding) {
		engine.changedAt = now
		engine.markUncertain(now)
		return
	}
	engine.holding.InHost = slices.Clone(replica.Holding.InHost)
	engine.holding.OnDisk = slices.Clone(replica.Holding.OnDisk)
}

// completeOrder applies the effect of the pending order.
func (engine *engine) completeOrder(now time.Time) {
	done := engine.order
	engine.order = nil
	engine.queryAt = time.Time{}
	if done.Operation == residency.Load {
		if _, present := engine.holding.Find(done.Model); !present {
			engine.holding.Models = append(engine.holding.Models, topology.LoadedModel{Model: done.Model})
		}
		engine.loadedAt[done.Model] = now
		engine.addCopies(done.Model)
		return
	}
	engine.removeModel(done.Model)
}

// addCopies records the copies of the weights that a load leaves in host memory and on disk.
func (engine *engine) addCopies(model string) {
	if !slices.Contains(engine.holding.OnDisk, model) {
		engine.holding.OnDisk = append(engine.holding.OnDisk, model)
	}
	if !slices.Contains(engine.holding.InHost, model) {
		engine.holding.InHost = append(engine.holding.InHost, model)
	}
}

func (engine *engine) removeModel(model string) {
	engine.holding.Models = slices.DeleteFunc(engine.holding.Models, func(loaded topology.LoadedModel) bool {
		return loaded.Model == model
	})
	delete(engine.loadedAt, model)
}

// addAdapter records an adapter whose load is expected to end at the given time.
func (engine *engine) addAdapter(model, adapter string, expected time.Time) {
	for index := range engine.holding.Models {
		loaded := &engine.holding.Models[index]
		if loaded.Model == model && !slices.Contains(loaded.Adapters, adapter) {
			loaded.Adapters = append(loaded.Adapters, adapter)
		}
	}
	engine.adaptersLoading[model+"/"+adapter] = expected
}

func (engine *engine) removeAdapter(model, adapter string) {
	for index := range engine.holding.Models {
		loaded := &engine.holding.Models[index]
		if loaded.Model == model {
			loaded.Adapters = slices.DeleteFunc(loaded.Adapters, func(name string) bool { return name == adapter })
		}
	}
	delete(engine.adaptersLoading, model+"/"+adapter)
}

// completeAdapters marks adapters as loaded whose expected time has passed.
func (engine *engine) completeAdapters(now time.Time) {
	maps.DeleteFunc(engine.adaptersLoading, func(_ string, expected time.Time) bool { return !now.Before(expected) })
}

// usableHolding returns what requests may use. It leaves out models about to be unloaded and adapters still
// loading.
func (engine *engine) usableHolding() topology.Holding {
	holding := topology.Holding{Orders: engine.holding.Orders}
	for _, loaded := range engine.holding.Models {
		if engine.order != nil && engine.order.Operation == residency.Unload && engine.order.Model == loaded.Model {
			continue
		}
		next := topology.LoadedModel{Model: loaded.Model, Version: loaded.Version}
		for _, adapter := range loaded.Adapters {
			if _, loading := engine.adaptersLoading[loaded.Model+"/"+adapter]; !loading {
				next.Adapters = append(next.Adapters, adapter)
			}
		}
		holding.Models = append(holding.Models, next)
	}
	return holding
}

// view returns the engine as input of the planner. An engine in backoff is shown as busy, so that it gets no
// order.
func (engine *engine) view(now time.Time, demand *totals, inBackoff bool, limit float64) *residency.Engine {
	view := &residency.Engine{
		Incarnation:     engine.Incarnation,
		Address:         engine.address,
		Zone:            engine.zone,
		Holding:         engine.holding,
		Busy:            !engine.settled() || now.Before(engine.backoffUntil) || inBackoff,
		Running:         demand.running[engine.Incarnation],
		AdaptersRunning: demand.adaptersRunning[engine.Incarnation],
		LoadedAt:        engine.loadedAt,
		Limit:           limit,
	}
	if now.Before(engine.reservedUntil) {
		view.ReservedFor = engine.reservedFor
	}
	if engine.order != nil && engine.order.Operation == residency.Load {
		view.Loading = engine.order.Model
		view.LoadingTier = engine.order.Tier
		view.ReadyAt = engine.order.expected
	}
	engine.viewSent(view, now)
	return view
}

// viewSent adds the effect that the order in flight, or of unknown outcome, may have.
func (engine *engine) viewSent(view *residency.Engine, now time.Time) {
	if engine.sent == nil || engine.order != nil || engine.sent.Adapter != "" || !now.Before(engine.sentUntil) {
		return
	}
	if engine.sent.Operation == residency.Unload {
		view.Unloading, view.ReservedFor = engine.sent.Model, engine.sent.For
		return
	}
	view.Loading, view.LoadingTier, view.ReadyAt = engine.sent.Model, engine.sent.Tier, engine.sent.expected
}
