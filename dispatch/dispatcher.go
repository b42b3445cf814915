package dispatch

import (
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/retry"
	"github.com/bronzestall/bronzestall/route"
)

// Dispatcher walks requests to upstreams and back. It is safe for concurrent use. Use New.
type Dispatcher struct {
	settings Settings
	deps     Deps
	clock    clock.Clock
	router   *route.Router
	budget   *retry.Budget
	book     *quarantine.Registry
	proven   *quarantine.Completed
	adapters *adapters

	mutex sync.Mutex
	// lanes holds a lane for each model or service that was asked for lately.
	lanes map[string]*lane
	// plain names the upstreams of plain services that were used.
	plain map[string]bool
	// flying holds the requests that run, by fingerprint.
	flying map[uint64]flight
	// waiting is the number of requests in all queues, at most settings.Total.
	waiting int
	// waitingOf is that number by tenant, without zeros.
	waitingOf map[string]int
	// serving is the number of requests between the begin and the end of Do, and active that number with
	// the work that goes on behind them.
	serving, active int
	// announced states that the requests that end are counted in finished.
	announced bool
	finished  int
	// stopping states that no new request is taken.
	stopping bool
	// emptied is closed when stopping and active is zero.
	emptied chan struct{}
}

// New returns a dispatcher without requests. Run must run beside it.
func New(settings Settings, deps Deps, clock clock.Clock, random *rand.Rand) *Dispatcher {
	if deps.Peers == nil {
		deps.Peers = alone{}
	}
	return &Dispatcher{
		settings:  settings.withDefaults(),
		deps:      deps,
		clock:     clock,
		router:    route.New(clock, random),
		budget:    retry.New(),
		book:      quarantine.New(),
		proven:    quarantine.NewCompleted(),
		plain:     map[string]bool{},
		flying:    map[uint64]flight{},
		waitingOf: map[string]int{},
		adapters:  &adapters{loads: map[slot]*load{}, missed: map[slot]time.Time{}},
		lanes:     map[string]*lane{},
		emptied:   make(chan struct{}),
	}
}

// Quarantine returns the suspects, to be exchanged with the other daemons of the data centre.
func (dispatcher *Dispatcher) Quarantine() *quarantine.Registry {
	return dispatcher.book
}
