package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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

// step is the scripted result of one attempt.
type step struct {
	err   error
	reply *exchange.Reply
	// noResponse makes the attempt block until it is cancelled.
	noResponse bool
	// trickle is what the body sends at each trickleInterval after the text, until the attempt is cancelled.
	trickle string
	// headAfter delays the response, and parts replaces its body; both end when the attempt is cancelled.
	headAfter time.Duration
	parts     []part
}

// part is a part of a body that is sent after the delay.
type part struct {
	after time.Duration
	text  string
}

// partedBody is a body of parts. It fails once the attempt is cancelled.
type partedBody struct {
	ctx   context.Context
	parts []part
	end   error
}

func (body *partedBody) Read(into []byte) (int, error) {
	if len(body.parts) == 0 {
		return 0, body.end
	}
	next := body.parts[0]
	body.parts = body.parts[1:]
	if !wait(body.ctx, next.after) {
		return 0, errors.Join(exchange.ErrLost, body.ctx.Err())
	}
	return copy(into, next.text), nil
}

func (body *partedBody) Close() error { return nil }

// wait waits for the time and reports whether the context has not ended.
func wait(ctx context.Context, duration time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// parted returns a step that streams the parts and ends with the error; io.EOF means that the stream is complete.
func parted(end error, parts ...part) step {
	next := answered(http.StatusOK, "", end)
	next.reply.EventStream, next.parts = true, parts
	return next
}

// replicas is an Upstream that returns the scripted steps in order and records the attempts.
type replicas struct {
	mutex    sync.Mutex
	steps    []step
	attempts []exchange.Attempt
	// sent and cancelled hold when each attempt was made, and when it was cancelled; zero if it was not.
	sent, cancelled []time.Time
}

func (replicas *replicas) Send(ctx context.Context, _ *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error) {
	replicas.mutex.Lock()
	at := len(replicas.attempts)
	replicas.attempts = append(replicas.attempts, attempt)
	replicas.sent, replicas.cancelled = append(replicas.sent, time.Now()), append(replicas.cancelled, time.Time{})
	replicas.mutex.Unlock()
	context.AfterFunc(ctx, func() {
		replicas.mutex.Lock()
		defer replicas.mutex.Unlock()
		replicas.cancelled[at] = time.Now()
	})
	if at >= len(replicas.steps) {
		return nil, exchange.ErrNotSent
	}
	next := replicas.steps[at]
	if next.noResponse {
		<-ctx.Done()
		return nil, errors.Join(exchange.ErrLost, ctx.Err())
	}
	if next.headAfter > 0 && !wait(ctx, next.headAfter) {
		return nil, errors.Join(exchange.ErrLost, ctx.Err())
	}
	if next.parts != nil {
		next.reply.Body = &partedBody{ctx, next.parts, next.reply.Body.(*endingBody).end}
	}
	if next.trickle != "" {
		next.reply.Body = &trickleBody{ctx: ctx, first: next.reply.Body, text: next.trickle}
	}
	return next.reply, next.err
}

// endingBody is a body that ends with the given error after the delay; io.EOF means that it is complete.
type endingBody struct {
	io.Reader
	end   error
	delay time.Duration
}

func (body *endingBody) Read(into []byte) (int, error) {
	n, err := body.Reader.Read(into)
	if err == io.EOF {
		time.Sleep(body.delay)
		err = body.end
	}
	return n, err
}

func (body *endingBody) Close() error { return nil }

func ok(text string) step { return answered(http.StatusOK, text, io.EOF) }

// answered returns a step with a response, which has the content type of a stream if its text begins with an event.
func answered(status int, text string, end error) step {
	return step{reply: &exchange.Reply{
		Status: status, Header: http.Header{}, Signed: true, Length: -1, EventStream: strings.HasPrefix(text, "id: "),
		Body: &endingBody{Reader: strings.NewReader(text), end: end},
	}}
}

// breaking returns a step that streams the text and breaks off after the delay.
func breaking(text string, after time.Duration) step {
	next := answered(http.StatusOK, text, errBroken)
	next.reply.Body.(*endingBody).delay = after
	return next
}

func rejected(misdirected bool) step {
	next := answered(http.StatusServiceUnavailable, "", io.EOF)
	next.reply.NotRun, next.reply.Misdirected = true, misdirected
	return next
}

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

var lost = step{err: exchange.ErrLost}

// errBroken is the error of a body that breaks off.
var errBroken = errors.New("reset")
