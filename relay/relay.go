package relay

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/retry"
	"github.com/bronzestall/bronzestall/topology"
)

// Deps is what a relay works with. All fields but Poke and Seat must be set.
type Deps struct {
	// Upstream sends requests.
	Upstream Upstream
	// Directory tells which replicas can serve.
	Directory *directory.Directory
	// Balancer chooses among them.
	Balancer *balance.Balancer
	// Demand counts what requests want.
	Demand *demand.Book
	// Suspects counts the crashes of replicas against requests.
	Suspects *quarantine.Tracker
	// Notices tells what replicas said of themselves.
	Notices *notice.Book
	// Poke is called when a request begins to wait for a model.
	Poke func()
	// Seat returns the place of the daemon among all; nil means zero.
	Seat func() int
	// Clock tells the time.
	Clock clock.WithTicker
}

// Relay serves requests. It is safe for concurrent use. Use New.
type Relay struct {
	deps     Deps
	settings Settings
	// ended is over when waiting and running requests must end; end ends it.
	ended context.Context
	end   context.CancelFunc

	mutex sync.Mutex
	// configuration is the newest configuration, or nil before the first.
	configuration *topology.Configuration
	// stopping states that new requests are refused.
	stopping bool
	// budgets maps services to their retry budgets, and most is the limit of each.
	budgets map[string]*retry.Budget
	most    float64
}

// New returns a relay without a configuration.
func New(settings Settings, deps Deps) *Relay {
	ended, end := context.WithCancel(context.Background())
	return &Relay{
		deps:     deps,
		settings: settings.withDefaults(),
		ended:    ended,
		end:      end,
		budgets:  map[string]*retry.Budget{},
		most:     settings.RetryMost,
	}
}

// Configure takes a configuration unless a newer one is in force, and reports whether it did.
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

// LimitRetries sets the largest number of second sendings that each service may have saved up.
func (relay *Relay) LimitRetries(most float64) {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.most = most
	for _, budget := range relay.budgets {
		budget.SetMax(most)
	}
}

// seat returns the place of the daemon among all.
func (relay *Relay) seat() int {
	if relay.deps.Seat == nil {
		return 0
	}
	return relay.deps.Seat()
}

func (relay *Relay) budget(service string) *retry.Budget {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	budget, ok := relay.budgets[service]
	if !ok {
		budget = retry.NewWithSettings(retry.Settings{Share: relay.settings.RetryShare, Max: relay.most, Initial: firstRetries})
		relay.budgets[service] = budget
	}
	return budget
}

// Serve answers the request through the sink, or returns why it did not. If the sink has begun then,
// its answer must be broken off.
func (relay *Relay) Serve(ctx context.Context, request *exchange.Request, sink Sink) (Summary, *outcome.Error) {
	if relay.isStopping() {
		return Summary{}, outcome.New(outcome.Stopping, "the daemon is shutting down").WithRetryAfter(retryAfterStop)
	}
	configuration := relay.Configuration()
	if configuration == nil {
		return Summary{}, outcome.New(outcome.NotReady, "no configuration is known yet").WithRetryAfter(time.Second)
	}
	route := configuration.Match(request.Host, request.Path)
	if route == nil {
		return Summary{Configuration: configuration.Version}, outcome.New(outcome.UnknownPath, "no route has this host and path")
	}
	service := configuration.Services[pickTarget(route.Targets, request.Traits.ID)]
	deadline := relay.deadline(request, route)
	ctx, cancel := context.WithTimeoutCause(ctx, deadline.Sub(relay.deps.Clock.Now()), errDeadline)
	defer cancel()
	ctx, stop := relay.untilEnd(ctx)
	defer stop()
	journey := &journey{relay: relay, request: request, fingerprint: request.Fingerprint(), route: route, service: service, sink: sink, deadline: deadline}
	journey.summary = Summary{Route: route.Name, Configuration: configuration.Version, Fingerprint: journey.fingerprint}
	failure := journey.walk(ctx)
	journey.summary.Sends = journey.sends
	return journey.summary, failure
}

// firstRetries is the number of second sendings that a daemon may spend right after its start, when many
// may start together.
const firstRetries = 2

// deadline returns when the request must have its final answer.
func (relay *Relay) deadline(request *exchange.Request, route *topology.Route) time.Time {
	allowed := route.Timeout
	if patience := request.Traits.Patience; patience > 0 && (allowed == 0 || patience-relay.settings.AnswerMargin < allowed) {
		allowed = patience - relay.settings.AnswerMargin
	}
	return request.Arrived.Add(allowed)
}

// pickTarget returns the service of a request by the weights of the route. Equal identifiers get the same one.
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
