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
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// stepEvery is the interval of steps without a reason.
	stepEvery = 100 * time.Millisecond
	// stepGap is the pause after a step, in which further reasons are joined, and engineGap what each engine adds,
	// since a step looks at all of them.
	stepGap   = 8 * time.Millisecond
	engineGap = 100 * time.Microsecond
	// startsKept is how long starts of loads from the weight store are remembered.
	startsKept = 10 * time.Second
	// forecastStep rounds forecasts, so that small shifts are not announced.
	forecastStep = 250 * time.Millisecond
)

// ErrNotHolder means that the daemon does not hold the lease.
var ErrNotHolder = trace.NotFound("this daemon does not hold the lease")

// Scheduler sends orders while its daemon holds the lease. It is safe for concurrent use. Use New.
type Scheduler struct {
	settings Settings
	deps     Deps
	planner  residency.Planner
	// wake asks for a step at once.
	wake chan struct{}

	mutex sync.Mutex
	// configuration and replicas are the newest known.
	configuration *topology.Configuration
	replicas      []topology.Replica
	// fence is the token of the tenure that the state below belongs to; zero without one.
	fence uint64
	// quietUntil is the time before which no order is sent.
	quietUntil time.Time
	// engines maps incarnations to engines.
	engines map[topology.Incarnation]*engine
	// ledger keeps the reports of daemons.
	ledger *ledger
	// loadings maps engines to what was on its way to them when the tenure began.
	loadings map[topology.Incarnation]directory.Loading
	// storeStarts lists the starts of loads from the weight store.
	storeStarts []time.Time
	// storeLimit is what was learnt of the weight store.
	storeLimit residency.StoreLimit
	// announced is the newest announcement and changed is closed at the next one.
	announced directory.Announcement
	changed   chan struct{}
}

// New returns a scheduler that knows nothing yet.
func New(settings Settings, deps Deps) *Scheduler {
	return &Scheduler{
		settings: settings,
		deps:     deps,
		planner:  residency.New(settings.Planner),
		wake:     make(chan struct{}, 1),
		engines:  map[topology.Incarnation]*engine{},
		ledger:   newLedger(),
		changed:  make(chan struct{}),
	}
}

// Update takes the configuration and the replicas that take requests.
func (scheduler *Scheduler) Update(configuration *topology.Configuration, replicas []topology.Replica) {
	scheduler.mutex.Lock()
	scheduler.configuration = configuration
	scheduler.replicas = replicas
	scheduler.mutex.Unlock()
	scheduler.Wake()
}

// Wake asks for a step at once.
func (scheduler *Scheduler) Wake() {
	select {
	case scheduler.wake <- struct{}{}:
	default:
	}
}

// Run steps until the context ends.
func (scheduler *Scheduler) Run(ctx context.Context) error {
	ticker := scheduler.deps.Clock.NewTicker(stepEvery)
	defer ticker.Stop()
	for {
		scheduler.Step(ctx)
		scheduler.deps.Clock.Sleep(scheduler.gap())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C():
		case <-scheduler.wake:
		}
	}
}

// gap returns the pause after a step.
func (scheduler *Scheduler) gap() time.Duration {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	return min(stepGap+time.Duration(len(scheduler.engines))*engineGap, stepEvery)
}

// Step sends the orders that are due and announces what changed. Calls to engines go on after it returns.
func (scheduler *Scheduler) Step(ctx context.Context) {
	scheduler.mutex.Lock()
	defer scheduler.mutex.Unlock()
	now := scheduler.deps.Clock.Now()
	fence, _, held := scheduler.deps.Lease.Held()
	if !held || scheduler.configuration == nil {
		return
	}
	if fence != scheduler.fence {
		scheduler.begin(fence, now)
	}
	scheduler.ledger.expire(now)
	scheduler.follow(now)
	scheduler.askDue(ctx, now)
	var forecasts []directory.Forecast
	scheduler.configuration.VisitEngineServices(func(service *topology.Service) {
		state := scheduler.state(service, now)
		if !now.Before(scheduler.quietUntil) {
			scheduler.plan(ctx, service, state)
		}
		for _, forecast := range scheduler.planner.Forecasts(state) {
			forecasts = append(forecasts, directory.Forecast{Key: forecast.Key(service.Name), Ready: forecast.Ready.Round(forecastStep)})
		}
	})
	scheduler.announce(forecasts)
}

// begin starts a tenure. The mutex is held.
func (scheduler *Scheduler) begin(fence uint64, now time.Time) {
	scheduler.fence = fence
	scheduler.engines = map[topology.Incarnation]*engine{}
	scheduler.storeStarts = nil
	scheduler.loadings = scheduler.deps.Loadings()
	scheduler.announced = directory.Announcement{Fence: fence}
	scheduler.quietUntil = now
	former := scheduler.deps.Lease.Former()
	if former.Name != "" && former.Name != scheduler.settings.Name {
		scheduler.quietUntil = now.Add(scheduler.settings.Turnover)
		event.OrdersHeld.Log("Fence", fence, "Former", former.Name, "For", scheduler.settings.Turnover)
	}
}

// follow takes up new engines and drops those that are gone. The mutex is held.
func (scheduler *Scheduler) follow(now time.Time) {
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
			known.askAt = now
			known.doubt = true
			known.doubtSince = now.Add(-doubtFor)
			known.inherit(scheduler.loadings[replica.Incarnation], now)
			scheduler.engines[replica.Incarnation] = known
		}
		if known.overdue(now) {
			known.order = nil
		}
		known.describe(replica, now)
		known.arrived(now)
	}
	for incarnation := range scheduler.engines {
		if !live[incarnation] {
			delete(scheduler.engines, incarnation)
		}
	}
	scheduler.storeStarts = slices.DeleteFunc(scheduler.storeStarts, func(at time.Time) bool { return now.Sub(at) > startsKept })
}

// plan sends the orders of one service. The mutex is held.
func (scheduler *Scheduler) plan(ctx context.Context, service *topology.Service, state *residency.State) {
	for _, order := range scheduler.planner.Plan(state) {
		scheduler.send(ctx, order, service)
	}
}

// state returns what the planner sees of the service. The mutex is held.
func (scheduler *Scheduler) state(service *topology.Service, now time.Time) *residency.State {
	sum := scheduler.ledger.totals(service.Name)
	state := &residency.State{
		Spec:     *service.Engine,
		Models:      sum.models,
		Adapters:    sum.adapters,
		StoreLoadStarts: scheduler.storeStarts,
		StoreLimit: scheduler.storeLimit.Value(),
		Now:         now,
	}
	for _, engine := range scheduler.engines {
		if engine.service == service.Name {
			state.Engines = append(state.Engines, engine.view(now, sum, scheduler.resting(engine.Incarnation, now)))
		}
	}
	slices.SortFunc(state.Engines, func(a, b *residency.Engine) int { return strings.Compare(a.ID, b.ID) })
	return state
}
