package decider

import (
	"context"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/permit"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/ring"
	"github.com/bronzestall/bronzestall/upstream"
)

// Deps are what a decider works with.
type Deps struct {
	// Tables is the table service and VMs the VM list.
	Tables datastore.Tables
	// VMs is the VM list.
	VMs datastore.VMs
	// Lease is the candidate for the lease of the data centre. The decider runs it.
	Lease *lease.Lease
	// Fleet and Engines give states of engines and take orders.
	Fleet Fleet
	// Engines takes orders.
	Engines Engines
	// Catalogue returns the catalogue in force; it is called once in each step.
	Catalogue func() Catalogue
	// Warmth tells what to keep warm.
	Warmth Warmth
	// Clock is the clock.
	Clock clock.Clock
	// Loaded is called with the time from the order to a ready replica of a first attempt; nil is not called.
	Loaded func(tier upstream.Tier, bytes int64, took time.Duration)
}

// Decider decides for one data centre while its lease is held. Use New. Report, Estimate and
// Status are safe for all goroutines; the rest belongs to the goroutine of Run.
type Decider struct {
	deps     Deps
	settings Settings
	log      *intent.Store
	registry *intent.Registry
	division *permit.Quota
	bucket   *permit.Bucket
	placer   *placement.Placer
	answers  *ring.Ring[answer]
	wake     chan struct{}
	senders  sync.WaitGroup
	// onTheWay counts by fencing number the orders whose answers were not taken from the ring.
	onTheWay map[uint64]int

	// registered states that this process may write intents.
	registered bool
	// reign is what is known under one fencing number, or nil while the lease is not owned.
	reign *reign
	// ended is the fencing number of the last reign that is over.
	ended uint64
	// endedAt is the time of the last attempt to record it.
	endedAt time.Time
	// serial numbers the intents of this process.
	serial uint64

	mutex    sync.Mutex
	reports  map[string]report
	outlooks map[string]outlookAt
	status   Status
}

// New returns a decider that has not begun.
func New(deps Deps, settings Settings) *Decider {
	settings = settings.withDefaults()
	return &Decider{
		deps:     deps,
		settings: settings,
		log:      intent.NewStore(deps.Tables, settings.DataCentre),
		registry: intent.NewRegistry(deps.Tables, deps.VMs, deps.Clock, settings.Sender, settings.ListLag),
		division: permit.NewQuota(deps.Tables, permit.Settings{
			Name: permit.Loads, Total: settings.LoadsAtOnce,
			DataCentres: settings.DataCentres, DataCentre: settings.DataCentre,
		}),
		bucket:   permit.NewBucket(settings.LoadsPerSecond, settings.LoadsAtOnce),
		placer:   placement.NewPlacer(settings.Placement),
		answers:  ring.New[answer](ordersAtOnce),
		wake:     make(chan struct{}, 1),
		onTheWay: map[uint64]int{},
		reports:  map[string]report{},
		outlooks: map[string]outlookAt{},
	}
}

// Run takes the lease whenever it can and decides while it owns it, until the context ends.
// Then it waits for the orders on their way, which takes at most OrderTimeout, and within the
// grace records that it sends no more and releases the lease.
func (decider *Decider) Run(ctx context.Context, grace time.Duration) error {
	leaseCtx, stopLease := context.WithCancel(ctx)
	leased := make(chan struct{})
	go func() {
		defer close(leased)
		_ = decider.deps.Lease.Run(leaseCtx)
	}()
	decider.loop(ctx)
	stopLease()
	<-leased
	decider.stop(context.WithoutCancel(ctx), grace)
	return ctx.Err()
}

func (decider *Decider) loop(ctx context.Context) {
	for ctx.Err() == nil {
		if err := decider.Step(ctx); err != nil && ctx.Err() == nil {
			event.DeciderFailed.LogError(err, "DataCentre", decider.settings.DataCentre)
		}
		decider.rest(ctx)
		timer := decider.deps.Clock.NewTimer(decider.settings.PassEvery)
		select {
		case <-ctx.Done():
		case <-timer.C():
		case <-decider.wake:
		case <-decider.deps.Fleet.Changed():
		case got := <-decider.answers.Items():
			decider.take(got)
		}
		timer.Stop()
	}
}

// rest waits for the shortest time between two steps.
func (decider *Decider) rest(ctx context.Context) {
	timer := decider.deps.Clock.NewTimer(stepGap)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C():
	}
}

// stop ends the orders of this process and hands the lease over.
func (decider *Decider) stop(ctx context.Context, grace time.Duration) {
	// Orders end within their own timeout; the grace is for the table service.
	decider.senders.Wait()
	decider.takeAll()
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	decider.closeBudget(ctx)
	if decider.registered {
		_ = decider.registry.RecordEnd(ctx)
	}
	_ = decider.deps.Lease.Release(ctx)
}

// Step does what there is to do now. It makes no call to engines itself; it waits for the table
// service only when something is to be written or recovered. An error means that the step is to
// be repeated.
func (decider *Decider) Step(ctx context.Context) error {
	decider.takeAll()
	fence, owned := decider.deps.Lease.Owned()
	if !owned {
		decider.endReign()
		decider.publish(nil)
		return decider.recordEnded(ctx)
	}
	if !decider.registered {
		if err := decider.registry.Register(ctx); err != nil {
			return err
		}
		decider.registered = true
	}
	if decider.reign == nil || decider.reign.fence != fence || decider.reign.isStale() {
		began, err := decider.recover(ctx, fence)
		if err != nil {
			return err
		}
		decider.endReign()
		decider.reign = began
	}
	if err := decider.reign.step(ctx); err != nil {
		return err
	}
	return decider.recordEnded(ctx)
}
