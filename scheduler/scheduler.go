package scheduler

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// stepInterval is the interval of steps while nothing triggers one.
	stepInterval = 100 * time.Millisecond
	// stepPause is the pause after a step, during which further triggers are merged. stepPausePerEngine is added
	// for each engine, since the cost of a step grows with their number.
	stepPause          = 8 * time.Millisecond
	stepPausePerEngine = 100 * time.Microsecond
	// storeLoadStartsKept is how long the starts of loads from the weight store are kept.
	storeLoadStartsKept = 10 * time.Second
	// startRetention is the age up to which a new holder bounds the requests at replicas that started before its term. What came of
	// requests at earlier ones was reported to its predecessor.
	startRetention = 5 * time.Second
	// forecastRounding is the precision of forecasts; small changes are not announced.
	forecastRounding = 250 * time.Millisecond
)

// ErrNotHolder is returned if the daemon does not hold the lease.
var ErrNotHolder = trace.NotFound("this daemon does not hold the lease")

// Scheduler sends orders while its daemon holds the lease. It is safe for concurrent use. Use New.
type Scheduler struct {
	settings Settings
	deps     Deps
	planner  residency.Planner
	// wake requests an immediate step.
	wake chan struct{}

	mutex sync.Mutex
	// configuration and replicas are the latest passed to Update.
	configuration *topology.Configuration
	replicas      []topology.Replica
	// starts knows which replicas are new.
	starts pace.Starts
	// fence is the fencing token of the term that the state below belongs to; zero before the first term.
	fence uint64
	// ordersHeldUntil is the time before which no order is sent.
	ordersHeldUntil time.Time
	// engines maps incarnations to the state of their engines.
	engines map[topology.Incarnation]*engine
	// aggregator holds the reports of daemons.
	aggregator *aggregator
	// loadings maps engines to the loads in progress when the term began.
	loadings map[topology.Incarnation]directory.Loading
	// storeLoadStarts lists the start times of recent loads from the weight store.
	storeLoadStarts []time.Time
	// storeLimit is the measured concurrency limit of the weight store.
	storeLimit residency.StoreLimit
	// shortages counts the models that got no order for a copy that they need.
	shortages shortages
	// announced is the latest announcement. changed is closed when the next one is published.
	announced directory.Announcement
	changed   chan struct{}
}

// New returns a scheduler without a configuration. It sends nothing before the first Update.
func New(settings Settings, deps Deps) *Scheduler {
	return &Scheduler{
		settings:   settings,
		deps:       deps,
		planner:    residency.New(settings.Planner),
		wake:       make(chan struct{}, 1),
		engines:    map[topology.Incarnation]*engine{},
		aggregator: newAggregator(),
		shortages:  newShortages(),
		changed:    make(chan struct{}),
	}
}

// Update sets the configuration and the replicas that accept requests.
func (scheduler *Scheduler) Update(configuration *topology.Configuration, replicas []topology.Replica) {
	scheduler.mutex.Lock()
	scheduler.configuration = configuration
	scheduler.replicas = replicas
	scheduler.starts.Observe(scheduler.aggregator.paces, replicas, scheduler.deps.Clock.Now())
	scheduler.mutex.Unlock()
	scheduler.Wake()
}

// Wake requests an immediate step.
func (scheduler *Scheduler) Wake() {
	select {
	case scheduler.wake <- struct{}{}:
	default:
	}
}

// Run executes steps until the context ends.
func (scheduler *Scheduler) Run(ctx context.Context) error {
	ticker := scheduler.deps.Clock.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		scheduler.Step(ctx)
		scheduler.deps.Clock.Sleep(scheduler.pauseAfterStep())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case <-scheduler.wake:
		}
	}
}

// pauseAfterStep returns the pause after a step.
func (scheduler *Scheduler) pauseAfterStep() time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return min(stepPause+time.Duration(len(scheduler.engines))*stepPausePerEngine, stepInterval)
}

// Step sends the due orders and announces changes. It does nothing if the lease is not held. Calls to engines
// continue after it returns.
func (scheduler *Scheduler) Step(ctx context.Context) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.deps.Clock.Now()
	fence, _, held := scheduler.deps.Lease.Held()
	scheduler.aggregator.paces.Values(now)
	changes := scheduler.aggregator.paces.Changes()
	if !held || scheduler.configuration == nil {
		return
	}
	for _, change := range changes {
		event.ReplicaPaced.Log("Replica", change.ID, "Service", change.Service, "Window", change.Window, "Cause", change.Cause.String())
	}
	if fence != scheduler.fence {
		scheduler.beginTerm(fence, now)
	}
	scheduler.aggregator.expire(now)
	scheduler.syncEngines(now)
	scheduler.queryDue(ctx, now)
	var forecasts []directory.Forecast
	scheduler.configuration.VisitEngineServices(func(service *topology.Service) {
		state := scheduler.plannerState(service, now)
		if !now.Before(scheduler.ordersHeldUntil) {
			scheduler.planService(ctx, service, state)
		}
		for _, forecast := range scheduler.planner.Forecasts(state) {
			forecasts = append(forecasts, directory.Forecast{Key: forecast.Key(service.Name), Ready: forecast.Ready.Round(forecastRounding)})
		}
	})
	scheduler.announce(forecasts)
}

// beginTerm resets the state for a new term. If the former holder was another daemon, orders are held back for the
// turnover time after its right to send them ended, or after now if that is unknown. The mutex is held.
func (scheduler *Scheduler) beginTerm(fence uint64, now time.Time) {
	scheduler.fence = fence
	scheduler.engines = map[topology.Incarnation]*engine{}
	scheduler.aggregator.paces.EndWindows(now.Add(-startRetention))
	scheduler.storeLoadStarts = nil
	scheduler.loadings = scheduler.deps.Loadings()
	scheduler.announced = directory.Announcement{Fence: fence}
	scheduler.ordersHeldUntil = now
	former := scheduler.deps.Lease.Former()
	if former.Name != "" && former.Name != scheduler.settings.Name {
		ended := scheduler.deps.Lease.FormerEnded()
		if ended.IsZero() || ended.After(now) {
			ended = now
		}
		scheduler.ordersHeldUntil = ended.Add(scheduler.settings.Turnover)
		event.OrdersHeld.Log("Fence", fence, "Former", former.Name, "For", scheduler.ordersHeldUntil.Sub(now))
	}
}

// syncEngines adds new engines, updates known ones and removes those that are gone. The mutex is held.
func (scheduler *Scheduler) syncEngines(now time.Time) {
	live := make(map[topology.Incarnation]bool, len(scheduler.replicas))
	for index := range scheduler.replicas {
		replica := &scheduler.replicas[index]
		service := scheduler.configuration.Services[replica.Service]
		if service.Engine == nil {
			continue
		}
		live[replica.Incarnation] = true
		known, ok := scheduler.engines[replica.Incarnation]
		if !ok {
			known = newEngine(replica)
			known.queryAt = now
			known.uncertain = true
			known.uncertainSince, known.settleAfter = now, 0
			known.inheritLoad(scheduler.loadings[replica.Incarnation], now)
			scheduler.engines[replica.Incarnation] = known
		}
		if known.overdue(now) {
			known.order = nil
		}
		known.applyDescription(replica, now)
		known.completeAdapters(now)
	}
	for incarnation := range scheduler.engines {
		if !live[incarnation] {
			delete(scheduler.engines, incarnation)
		}
	}
	scheduler.storeLoadStarts = slices.DeleteFunc(scheduler.storeLoadStarts, func(at time.Time) bool { return now.Sub(at) > storeLoadStartsKept })
}

// planService sends the planned orders of one service and records what could not be planned. The mutex is held.
func (scheduler *Scheduler) planService(ctx context.Context, service *topology.Service, state *residency.State) {
	decision := scheduler.planner.Decide(state)
	for _, order := range decision.Orders {
		scheduler.startSend(ctx, order, service)
	}
	scheduler.shortages.add(service.Name, decision.Shortages, state.Now)
}

// plannerState returns the planner's input for the service. The mutex is held.
func (scheduler *Scheduler) plannerState(service *topology.Service, now time.Time) *residency.State {
	sum := scheduler.aggregator.serviceTotals(service.Name)
	state := &residency.State{
		Spec:            *service.Engine,
		Models:          sum.models,
		Adapters:        sum.adapters,
		StoreLoadStarts: scheduler.storeLoadStarts,
		StoreLimit:      scheduler.storeLimit.Value(),
		Now:             now,
	}
	for _, engine := range scheduler.engines {
		if engine.service == service.Name {
			view := engine.view(now, sum, scheduler.inBackoff(engine.Incarnation, now), scheduler.limitOf(engine.Incarnation))
			view.Speed = scheduler.aggregator.speed(engine.Incarnation, now)
			state.Engines = append(state.Engines, view)
		}
	}
	slices.SortFunc(state.Engines, func(a, b *residency.Engine) int { return strings.Compare(a.ID, b.ID) })
	return state
}
