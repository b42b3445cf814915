package decider

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/boundedqueue"
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/permit"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// Deps holds the dependencies of a decider.
type Deps struct {
	// Tables is the table service.
	Tables datastore.Tables
	// VMs is the VM list.
	VMs datastore.VMs
	// Lease is the lease of the data centre. Run runs it.
	Lease *lease.Lease
	// Fleet provides the states of the engines.
	Fleet Fleet
	// Engines sends orders to engines.
	Engines Engines
	// Catalogue returns the catalogue in force; it is called once in each step.
	Catalogue func() Catalogue
	// WarmPolicy determines which models are kept loaded without demand.
	WarmPolicy WarmPolicy
	// Clock is the clock of steps, timeouts and reports.
	Clock clock.Clock
	// OnLoaded is called with the time from the order to the ready replica, for loads that
	// needed one attempt; nil is not called.
	OnLoaded func(tier upstream.Tier, bytes int64, took time.Duration)
}

// Decider decides for one data centre while this process holds the lease. Use New. Report,
// Estimate and Status are safe for concurrent use; all else belongs to the goroutine of Run.
type Decider struct {
	deps     Deps
	settings Settings
	log      *intent.Store
	registry *intent.Registry
	quota    *permit.Quota
	bucket   *permit.Bucket
	placer   *placement.Placer
	results  *boundedqueue.Queue[attemptResult]
	wake     chan struct{}
	attempts sync.WaitGroup
	// inFlight counts, by fencing number, the calls to engines whose results were not yet taken
	// from the queue.
	inFlight map[uint64]int

	// registered states that this process may write intents.
	registered bool
	// term is the state under one fencing number, or nil while the lease is not owned.
	term *term
	// endedFence is the fencing number of the last term that has ended.
	endedFence uint64
	// endAttemptedAt is the time of the last attempt to record that end.
	endAttemptedAt time.Time
	// serial numbers the orders of this process.
	serial uint64

	mutex     sync.Mutex
	reports   map[string]report
	estimates map[string]timedEstimate
	status    Status
}

// New returns a decider. It does nothing until Run or Step.
func New(deps Deps, settings Settings) *Decider {
	settings = settings.withDefaults()
	return &Decider{
		deps:     deps,
		settings: settings,
		log:      intent.NewStore(deps.Tables, settings.DataCentre),
		registry: intent.NewRegistry(deps.Tables, deps.VMs, deps.Clock, settings.Sender, settings.VMListLag),
		quota: permit.NewQuota(deps.Tables, permit.Settings{
			Name: permit.Loads, Total: settings.LoadsAtOnce,
			DataCentres: settings.DataCentres, DataCentre: settings.DataCentre,
		}),
		bucket:    permit.NewBucket(settings.LoadsPerSecond, settings.LoadsAtOnce),
		placer:    placement.NewPlacer(settings.Placement),
		results:   boundedqueue.New[attemptResult](maxInFlight),
		wake:      make(chan struct{}, 1),
		inFlight:  map[uint64]int{},
		reports:   map[string]report{},
		estimates: map[string]timedEstimate{},
	}
}

// Run acquires the lease whenever possible and decides while it owns the lease, until the
// context ends. It then waits for the calls in flight, which takes at most OrderTimeout, and
// within the grace records that it sends no more orders and releases the lease.
func (decider *Decider) Run(ctx context.Context, grace time.Duration) error {
	leaseCtx, stopLease := context.WithCancel(ctx)
	leaseDone := make(chan struct{})
	go func() {
		defer close(leaseDone)
		_ = decider.deps.Lease.Run(leaseCtx)
	}()
	decider.loop(ctx)
	stopLease()
	<-leaseDone
	decider.stop(context.WithoutCancel(ctx), grace)
	return ctx.Err()
}

func (decider *Decider) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := decider.Step(ctx); err != nil && ctx.Err() == nil {
			event.DeciderFailed.LogError(err, "DataCentre", decider.settings.DataCentre)
		}
		decider.waitMinInterval(ctx)
		timer := decider.deps.Clock.NewTimer(decider.settings.StepInterval)
		select {
		case <-ctx.Done():
		case <-timer.C():
		case <-decider.wake:
		case <-decider.deps.Fleet.Changed():
		case result := <-decider.results.Items():
			decider.handleResult(result)
		}
		timer.Stop()
	}
}

// waitMinInterval waits for the shortest time between two steps.
func (decider *Decider) waitMinInterval(ctx context.Context) {
	timer := decider.deps.Clock.NewTimer(minStepInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// stop waits for the calls in flight, records the end of this process and releases the lease.
func (decider *Decider) stop(ctx context.Context, grace time.Duration) {
	// Each call ends within its own timeout; the grace is for the table service.
	decider.attempts.Wait()
	decider.handleResults()
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	decider.removeBudget(ctx)
	if decider.registered {
		_ = decider.registry.RecordEnd(ctx)
	}
	_ = decider.deps.Lease.Release(ctx)
}

// Step performs one step: it handles results, observes engines, decides, records and sends. It
// waits for the table service only to write or to recover rows; calls to engines run on other
// goroutines. After an error the step is to be repeated.
func (decider *Decider) Step(ctx context.Context) error {
	decider.handleResults()
	fence, owned := decider.deps.Lease.Owned()
	if !owned {
		decider.endTerm()
		decider.publish(nil)
		return decider.recordEndedTerm(ctx)
	}
	if !decider.registered {
		if err := decider.registry.Register(ctx); err != nil {
			return err
		}
		decider.registered = true
	}
	if decider.term == nil || decider.term.fence != fence || decider.term.isStale() {
		recovered, err := decider.recover(ctx, fence)
		if err != nil {
			return err
		}
		decider.endTerm()
		decider.term = recovered
	}
	if err := decider.term.step(ctx); err != nil {
		return err
	}
	return decider.recordEndedTerm(ctx)
}
