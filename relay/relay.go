package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/admission"
	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/brittle"
	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/internal/lifetime"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/retry"
	"github.com/bronzestall/bronzestall/rollout"
	"github.com/bronzestall/bronzestall/topology"
)

// Deps holds the dependencies of a Relay. All fields but OnModelWait, ConfigurationAge, MayLoad and DaemonIndex must be set.
type Deps struct {
	// Upstream sends requests to replicas.
	Upstream Upstream
	// Directory lists the replicas that can serve a request.
	Directory *directory.Directory
	// Balancer chooses one of them.
	Balancer *balance.Balancer
	// Demand counts arriving, waiting and running requests by model.
	Demand *demand.Counter
	// Suspects counts the crashes of replicas against requests.
	Suspects *quarantine.Tracker
	// Notices holds what replicas reported about themselves.
	Notices *notice.Registry
	// OnModelWait is called when a request begins to wait for a model.
	OnModelWait func()
	// Limiter holds the tokens for replicas that named limits.
	Limiter *ratelimit.Limiter
	// Origins knows which releases began streams.
	Origins Origins
	// Rollouts knows which releases leave; nil means that none does.
	Rollouts *rollout.Tracker
	// Brittle keeps rejections rare at replicas that fall over for them; nil means that none does.
	Brittle *brittle.Guard
	// Lender passes requests on through other daemons; nil means that there is none.
	Lender Lender
	// Prover knows when replicas responded; nil means that all do.
	Prover Prover
	// Quotas keeps accounts to their quotas; nil means that none has one.
	Quotas Quotas
	// ConfigurationAge returns the time since which the configuration is not known to be in force; nil means that it always is.
	ConfigurationAge func() time.Duration
	// MayLoad reports whether some daemon may order loads of models, as far as is known; nil means that one always may.
	MayLoad func() bool
	// DaemonIndex returns the index of the daemon among all daemons; nil means zero.
	DaemonIndex func() int
	// Held bounds the bytes held of responses; nil means 64 MiB.
	Held *bytebudget.Budget
	// Clock provides the time and timers.
	Clock clock.WithTicker
}

// defaultHeldBytes bounds the bytes held of responses without a budget in Deps.
const defaultHeldBytes = 64 << 20

// Relay forwards requests to replicas. It is safe for concurrent use. Use New.
type Relay struct {
	deps     Deps
	settings Settings
	// activity knows which replicas fell silent.
	activity *activity
	// lines holds the requests that wait for capacity, ceilings bounds what replicas that rejected requests are offered, and memory
	// counts the tokens that requests need at engines.
	lines    *lines
	ceilings *admission.Ceilings
	memory   *admission.Memory
	// lifetime ends, with errStopped, when waiting and running requests must end; cancel ends it.
	lifetime context.Context
	cancel   context.CancelCauseFunc

	mutex sync.Mutex
	// configuration is the newest configuration, or nil before the first.
	configuration *topology.Configuration
	// stopping is set once new requests are refused.
	stopping bool
	// budgets maps services to their retry budgets, and maxSaved is the limit of each.
	budgets  map[string]*retry.Budget
	maxSaved float64
}

// New returns a relay without a configuration.
func New(settings Settings, deps Deps) *Relay {
	ctx, cancel := context.WithCancelCause(context.Background())
	if deps.Held == nil {
		deps.Held = bytebudget.New(defaultHeldBytes)
	}
	return &Relay{
		deps:     deps,
		settings: settings.withDefaults(),
		activity: newActivity(deps.Clock),
		lines:    newLines(),
		ceilings: admission.NewCeilings(),
		memory:   admission.NewMemory(),
		lifetime: ctx,
		cancel:   cancel,
		budgets:  map[string]*retry.Budget{},
		maxSaved: settings.MaxSavedRetries,
	}
}

// Configure applies the configuration and returns true, unless the current version is the same or newer.
func (relay *Relay) Configure(configuration *topology.Configuration) bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	if relay.configuration != nil && configuration.Version <= relay.configuration.Version {
		return false
	}
	relay.configuration = configuration
	return true
}

// Configuration returns the configuration in force, or nil before the first.
func (relay *Relay) Configuration() *topology.Configuration {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.configuration
}

// LimitRetries sets the largest number of retries that each service may accumulate.
func (relay *Relay) LimitRetries(maxSaved float64) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.maxSaved = maxSaved
	for _, budget := range relay.budgets {
		budget.SetMax(maxSaved)
	}
}

// daemonIndex returns the index of the daemon among all daemons.
func (relay *Relay) daemonIndex() int {
	if relay.deps.DaemonIndex == nil {
		return 0
	}
	return relay.deps.DaemonIndex()
}

// budget returns the retry budget of the service, which is created on first use.
func (relay *Relay) budget(service string) *retry.Budget {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	budget, ok := relay.budgets[service]
	if !ok {
		budget = retry.NewWithSettings(retry.Settings{Share: relay.settings.RetryShare, Max: relay.maxSaved, Initial: initialRetries})
		relay.budgets[service] = budget
	}
	return budget
}

// Serve answers the request through the sink, or returns why it did not. If it fails after the sink has begun, the
// caller must abort the response.
func (relay *Relay) Serve(ctx context.Context, request *exchange.Request, sink Sink) (Summary, *outcome.Error) {
	configuration, route, failure := relay.match(request)
	if failure != nil {
		return Summary{Configuration: versionOf(configuration)}, failure
	}
	if failure := checkAdmitted(configuration, route, request); failure != nil {
		return Summary{Configuration: configuration.Version}, failure
	}
	service := configuration.Services[pickTarget(route.Targets, streamID(request))]
	return relay.serve(ctx, &transaction{request: request, configuration: configuration, route: route, service: service, sink: sink, maxRuns: route.MaxAttempts})
}

// versionOf returns the version of the configuration; zero if it is nil.
func versionOf(configuration *topology.Configuration) uint64 {
	if configuration == nil {
		return 0
	}
	return configuration.Version
}

// match returns the configuration in force and the route of the request, or why it cannot be served now.
func (relay *Relay) match(request *exchange.Request) (*topology.Configuration, *topology.Route, *outcome.Error) {
	if relay.isStopping() {
		return nil, nil, outcome.New(outcome.Stopping, "the daemon is shutting down").WithRetryAfter(retryAfterStop)
	}
	configuration := relay.Configuration()
	if configuration == nil {
		return nil, nil, outcome.New(outcome.NotReady, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	route := configuration.Match(request.Host, request.Path)
	if route == nil {
		return configuration, nil, outcome.New(outcome.UnknownPath, "no route has this host and path")
	}
	return configuration, route, nil
}

// serve runs the transaction.
func (relay *Relay) serve(ctx context.Context, transaction *transaction) (Summary, *outcome.Error) {
	transaction.relay = relay
	transaction.causes = causes(transaction.request)
	transaction.deadline = relay.deadline(transaction.request, transaction.route)
	ctx, cancel := context.WithTimeoutCause(ctx, transaction.deadline.Sub(relay.deps.Clock.Now()), errDeadline)
	defer cancel()
	ctx, release := lifetime.Join(ctx, relay.lifetime)
	defer release()
	transaction.summary = Summary{Route: transaction.route.Name, Configuration: transaction.configuration.Version, Fingerprint: transaction.causes.Request}
	failure := transaction.run(ctx)
	transaction.recordEnd(failure)
	transaction.summary.Sends, transaction.summary.Runs = transaction.sends, transaction.runs
	return transaction.summary, failure
}

// initialRetries is the number of retries that a daemon may spend for each service right after its start. It is
// small, since many daemons may start at the same time.
const initialRetries = 2

// deadline returns when the request must have its final response.
func (relay *Relay) deadline(request *exchange.Request, route *topology.Route) time.Time {
	allowed := route.Timeout
	if clientTimeout := request.Metadata.ClientTimeout; clientTimeout > 0 && (allowed == 0 || clientTimeout-relay.settings.ResponseMargin < allowed) {
		allowed = clientTimeout - relay.settings.ResponseMargin
	}
	return request.Arrived.Add(allowed)
}

// pickTarget returns the service of a request by the weights of the route. Equal IDs get the same service.
func pickTarget(targets []topology.Target, id string) string {
	total := 0
	for _, target := range targets {
		total += max(target.Weight, 0)
	}
	if total == 0 {
		return targets[0].Service
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, target := range targets {
		at -= max(target.Weight, 0)
		if at < 0 {
			return target.Service
		}
	}
	return targets[0].Service
}
