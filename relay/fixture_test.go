package relay

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// crashLimit is the number of crashes from which a request is refused.
const crashLimit = 3

// client is a Sink that records the response.
type client struct {
	status int
	body   bytes.Buffer
}

func (client *client) Head(status int, _ http.Header, _ int64) { client.status = status }
func (client *client) Begun() bool                             { return client.status != 0 }
func (client *client) Write(part []byte) error {
	client.body.Write(part)
	return nil
}

// fixture is a relay in front of replicas a and b of a plain service and of an engine service.
type fixture struct {
	relay     *Relay
	upstream  *replicas
	directory *directory.Directory
	demand    *demand.Counter
	client    client
	// limits holds the limits that replicas named.
	limits  *ratelimit.Table
	origins *origins
}

// origins is an Origins that holds what the test put in.
type origins struct {
	mutex sync.Mutex
	known map[string]origin.Origin
	broke []string
}

func (origins *origins) Begin(_ context.Context, stream origin.Stream) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.known[stream.ID] = stream.Origin
}

func (origins *origins) Broke(id string) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	origins.broke = append(origins.broke, id)
}

func (origins *origins) Find(_ context.Context, id, _ string) (origin.Origin, origin.Source) {
	origins.mutex.Lock()
	defer origins.mutex.Unlock()
	if found, ok := origins.known[id]; ok {
		return found, origin.Own
	}
	return origin.Origin{}, origin.Unknown
}

func (origins *origins) Age(string) time.Duration { return time.Second }

func newFixture(steps ...step) *fixture {
	clk := clock.RealClock{}
	built := &fixture{upstream: &replicas{steps: steps}, directory: directory.New(clk), demand: demand.New(), limits: ratelimit.NewTable(), origins: &origins{known: map[string]origin.Origin{}}}
	built.relay = New(Settings{Zone: "z", MaxSavedRetries: 8, RetryShare: 0.1}, Deps{
		Upstream: built.upstream, Directory: built.directory, Balancer: balance.New(rand.New(rand.NewPCG(1, 2))),
		Demand: built.demand, Suspects: quarantine.NewTracker(crashLimit), Notices: notice.New(), Limiter: ratelimit.NewLimiter(built.limits), Origins: built.origins, Clock: clk,
	})
	built.relay.Configure((&topology.Configuration{
		Version: 1,
		Routes: []topology.Route{
			{Host: "h", PathPrefix: "/once/", Kind: topology.NonIdempotent, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Targets: plainTarget, MaxAttempts: 1},
			{Host: "h", PathPrefix: "/again/", Kind: topology.Idempotent, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Targets: plainTarget, MaxAttempts: 2},
			{Host: "h", PathPrefix: "/stream/", Kind: topology.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second, GapTarget: 250 * time.Millisecond, Targets: engineTarget, MaxAttempts: 1},
			{Host: "h", PathPrefix: "/resume/", Kind: topology.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second, GapTarget: 250 * time.Millisecond, Targets: engineTarget, MaxAttempts: 2, Resumable: true},
		},
		Services: map[string]topology.Service{
			"plain":  {Name: "plain"},
			"engine": {Name: "engine", Engine: &topology.EngineSpec{Slots: 8, Models: map[string]topology.Model{"m": {Name: "m"}}}},
		},
	}).Index())
	built.setModels("m")
	return built
}

var (
	plainTarget  = []topology.Target{{Service: "plain", Weight: 1}}
	engineTarget = []topology.Target{{Service: "engine", Weight: 1}}
)

// setModels publishes the replicas with the models loaded.
func (fixture *fixture) setModels(models ...string) {
	var all []topology.Replica
	for _, service := range []string{"plain", "engine"} {
		for _, id := range []string{"a", "b"} {
			replica := topology.Replica{Incarnation: topology.Incarnation{ID: service + id}, Service: service, Zone: "z", Slots: 4}
			for _, model := range models {
				replica.Holding.Models = append(replica.Holding.Models, topology.LoadedModel{Model: model})
			}
			all = append(all, replica)
		}
	}
	fixture.directory.SetReplicas(all)
}

// setReleases publishes engines with the releases, by identifier.
func (fixture *fixture) setReleases(releases map[string]string) {
	var all []topology.Replica
	for id, release := range releases {
		all = append(all, topology.Replica{
			Incarnation: topology.Incarnation{ID: id}, Service: "engine", Zone: "z", Slots: 4, Release: release,
			Holding: topology.Holding{Models: []topology.LoadedModel{{Model: "m"}}},
		})
	}
	fixture.directory.SetReplicas(all)
}

func (fixture *fixture) serve(ctx context.Context, path string) *outcome.Error {
	_, failure := fixture.relay.Serve(ctx, fixture.request(path), &fixture.client)
	return failure
}

// request returns a request that arrives now.
func (fixture *fixture) request(path string) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodPost, Target: path, Path: path, Host: "h", Header: http.Header{},
		Metadata: exchange.Metadata{ID: "1", Model: "m"}, Arrived: time.Now(),
	}
}

func events(from, to int) string {
	var text strings.Builder
	for id := from; id <= to; id++ {
		_, _ = fmt.Fprintf(&text, "id: %d\ndata: x\n\n", id)
	}
	return text.String()
}
