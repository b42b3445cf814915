package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/retry"
	"github.com/bronzestall/bronzestall/route"
)

// Dispatcher admits, queues, routes and retries requests. It is safe for concurrent use. Use New.
type Dispatcher struct {
	settings  Settings
	deps      Deps
	clock     clock.Clock
	router    *route.Router
	budget    *retry.Budget
	registry  *quarantine.Registry
	completed *quarantine.Completed
	adapters  *adapters

	mutex sync.Mutex
	// workloads holds the recently requested models and services by workloadKey.
	workloads map[string]*workload
	// plainServices names the upstreams of plain services that were used.
	plainServices map[string]bool
	// inFlight holds the running requests by fingerprint.
	inFlight map[uint64]duplicates
	// waiting is the number of requests in all queues, at most settings.Total.
	waiting int
	// waitingByTenant is the part of waiting by tenant; tenants with zero are deleted.
	waitingByTenant map[string]int
	// serving is the number of calls of Do in progress. active also counts their work in the background.
	serving, active int
	// counting states that finished counts the requests that end.
	counting bool
	finished int
	// stopping states that new requests are refused.
	stopping bool
	// lifetime is the context of all requests. cut ends it, and with it what still runs, with a final response.
	lifetime context.Context
	cut      context.CancelCauseFunc
	// emptied is closed once stopping is true and active is zero.
	emptied chan struct{}
}

// New returns a dispatcher without requests. The caller must also start Run.
func New(settings Settings, deps Deps, clock clock.Clock, random *rand.Rand) *Dispatcher {
	if deps.Peers == nil {
		deps.Peers = noPeers{}
	}
	ctx, cut := context.WithCancelCause(context.Background())
	return &Dispatcher{
		lifetime:        ctx,
		cut:             cut,
		settings:        settings.withDefaults(),
		deps:            deps,
		clock:           clock,
		router:          route.New(clock, random),
		budget:          retry.New(),
		registry:        quarantine.New(),
		completed:       quarantine.NewCompleted(),
		plainServices:   map[string]bool{},
		inFlight:        map[uint64]duplicates{},
		waitingByTenant: map[string]int{},
		adapters:        &adapters{loads: map[adapterKey]*load{}, refused: map[adapterKey]time.Time{}},
		workloads:       map[string]*workload{},
		emptied:         make(chan struct{}),
	}
}

// Quarantine returns the registry of suspects, which the daemons of the data centre exchange.
func (dispatcher *Dispatcher) Quarantine() *quarantine.Registry {
	return dispatcher.registry
}
