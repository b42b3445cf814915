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
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// suspectLimit is the number of crashes from which a request is refused.
const suspectLimit = 3

// step is how a replica treats one sending.
type step struct {
	err    error
	reply  *exchange.Reply
	silent bool
	// drips is what the body sends each dripEvery after the reply's text, until the attempt is given up.
	drips string
}

// replicas is an Upstream that plays steps in turn.
type replicas struct {
	mutex    sync.Mutex
	steps    []step
	attempts []exchange.Attempt
}

func (replicas *replicas) Send(ctx context.Context, _ *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error) {
	replicas.mutex.Lock()
	at := len(replicas.attempts)
	replicas.attempts = append(replicas.attempts, attempt)
	replicas.mutex.Unlock()
	if at >= len(replicas.steps) {
		return nil, exchange.ErrNotSent
	}
	next := replicas.steps[at]
	if next.silent {
		<-ctx.Done()
		return nil, errors.Join(exchange.ErrLost, ctx.Err())
	}
	if next.drips != "" {
		next.reply.Body = &dripping{ctx: ctx, first: next.reply.Body, text: next.drips}
	}
	return next.reply, next.err
}

// reading is a body that ends with an error, io.EOF if it is complete.
type reading struct {
	io.Reader
	end error
}

func (body *reading) Read(into []byte) (int, error) {
	n, err := body.Reader.Read(into)
	if err == io.EOF {
		err = body.end
	}
	return n, err
}

func (body *reading) Close() error { return nil }

func ok(text string) step { return answered(http.StatusOK, text, io.EOF) }

func answered(status int, text string, end error) step {
	return step{reply: &exchange.Reply{
		Status: status, Header: http.Header{}, Signed: true, Length: -1,
		Body: &reading{strings.NewReader(text), end},
	}}
}

func rejected(absent bool) step {
	next := answered(http.StatusServiceUnavailable, "", io.EOF)
	next.reply.NotRun, next.reply.Absent = true, absent
	return next
}

// client is a Sink that keeps what it got.
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

// site is a relay before replicas a and b.
type site struct {
	relay     *Relay
	upstream  *replicas
	directory *directory.Directory
	demand    *demand.Book
	client    client
}

func newSite(steps ...step) *site {
	clk := clock.RealClock{}
	made := &site{upstream: &replicas{steps: steps}, directory: directory.New(clk), demand: demand.New()}
	made.relay = New(Settings{Zone: "z", RetryMost: 8, RetryShare: 0.1}, Deps{
		Upstream: made.upstream, Directory: made.directory, Balancer: balance.New(rand.New(rand.NewPCG(1, 2))),
		Demand: made.demand, Suspects: quarantine.NewTracker(suspectLimit), Notices: notice.New(), Clock: clk,
	})
	made.relay.Configure((&topology.Configuration{
		Version: 1,
		Routes: []topology.Route{
			{Host: "h", PathPrefix: "/once/", Kind: topology.NonIdempotent, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Targets: plainTarget, MaxAttempts: 1},
			{Host: "h", PathPrefix: "/again/", Kind: topology.Idempotent, Timeout: 2 * time.Second, LatencyTarget: 200 * time.Millisecond, Targets: plainTarget, MaxAttempts: 2},
			{Host: "h", PathPrefix: "/stream/", Kind: topology.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second, GapTarget: 250 * time.Millisecond, Targets: engineTarget, MaxAttempts: 1},
			{Host: "h", PathPrefix: "/resume/", Kind: topology.Streaming, Timeout: 10 * time.Second, LatencyTarget: time.Second, GapTarget: 250 * time.Millisecond, Targets: engineTarget, MaxAttempts: 2, Resumable: true},
		},
		Services: map[string]topology.Service{
			"plain":  {Name: "plain"},
			"engine": {Name: "engine", Engine: &topology.Engine{Slots: 8, Models: map[string]topology.Model{"m": {Name: "m"}}}},
		},
	}).Index())
	made.show("m")
	return made
}

var (
	plainTarget  = []topology.Target{{Service: "plain", Weight: 1}}
	engineTarget = []topology.Target{{Service: "engine", Weight: 1}}
)

// show makes the replicas known, the engines with the models loaded.
func (site *site) show(models ...string) {
	var all []topology.Replica
	for _, service := range []string{"plain", "engine"} {
		for _, id := range []string{"a", "b"} {
			replica := topology.Replica{Incarnation: topology.Incarnation{ID: service + id}, Service: service, Zone: "z", Slots: 4}
			for _, model := range models {
				replica.Holding.Models = append(replica.Holding.Models, topology.Loaded{Model: model})
			}
			all = append(all, replica)
		}
	}
	site.directory.SetReplicas(all)
}

func (site *site) serve(ctx context.Context, path string) *outcome.Error {
	_, failure := site.relay.Serve(ctx, site.request(path), &site.client)
	return failure
}

// request returns a request that arrives now.
func (site *site) request(path string) *exchange.Request {
	return &exchange.Request{
		Method: http.MethodPost, Target: path, Path: path, Host: "h", Header: http.Header{},
		Traits: exchange.Traits{ID: "1", Model: "m"}, Arrived: time.Now(),
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

func TestHowRequestsEnd(t *testing.T) {
	broken := errors.New("reset")
	for name, test := range map[string]struct {
		path  string
		steps []step
		sends int
		body  string
		kind  outcome.Kind
	}{
		"answered":                           {"/once/x", []step{ok("yes")}, 1, "yes", -1},
		"lost call is not sent again":        {"/once/x", []step{lost, ok("yes")}, 1, "", outcome.UpstreamLost},
		"rejected call is sent again":        {"/once/x", []step{rejected(false), ok("yes")}, 2, "yes", -1},
		"unsent call is sent again":          {"/once/x", []step{{err: exchange.ErrNotSent}, ok("yes")}, 2, "yes", -1},
		"truncated call is not repeated":     {"/once/x", []step{answered(200, "ye", broken), ok("yes")}, 1, "", outcome.UpstreamLost},
		"failure of a call is passed on":     {"/once/x", []step{answered(500, "no", io.EOF), ok("yes")}, 1, "no", -1},
		"lost lookup is sent again":          {"/again/x", []step{lost, ok("yes")}, 2, "yes", -1},
		"lookup runs twice at most":          {"/again/x", []step{lost, lost, ok("yes")}, 2, "", outcome.UpstreamLost},
		"failed lookup is mended":            {"/again/x", []step{answered(500, "no", io.EOF), ok("yes")}, 2, "yes", -1},
		"two failures pass the last on":      {"/again/x", []step{answered(500, "no", io.EOF), answered(500, "no2", io.EOF)}, 2, "no2", -1},
		"failure goes before a lost retry":   {"/again/x", []step{answered(500, "no", io.EOF), lost}, 2, "no", -1},
		"silent lookup goes elsewhere":       {"/again/x", []step{{silent: true}, ok("yes")}, 2, "yes", -1},
		"silent call waits for its deadline": {"/once/x", []step{{silent: true}, ok("yes")}, 1, "", outcome.DeadlineRunning},
		"stream":                             {"/stream/x", []step{ok(events(1, 3))}, 1, events(1, 3), -1},
		"cut stream is not joined":           {"/stream/x", []step{answered(200, events(1, 2)+"id: 3\nda", broken), ok(events(1, 3))}, 1, events(1, 2), outcome.UpstreamLost},
		"half an event is no end":            {"/stream/x", []step{answered(200, events(1, 2)+"id: 3\nda", io.EOF)}, 1, events(1, 2), outcome.UpstreamLost},
		"cut stream goes on where it may":    {"/resume/x", []step{answered(200, events(1, 2)+"id: 3\nda", broken), ok(events(3, 4))}, 2, events(1, 4), -1},
		"resumed stream repeats nothing":     {"/resume/x", []step{answered(200, events(1, 2), broken), ok(events(1, 4))}, 2, events(1, 4), -1},
		"rejected stream is sent again":      {"/stream/x", []step{rejected(false), ok(events(1, 2))}, 2, events(1, 2), -1},
		"unknown path":                       {"/none/x", nil, 0, "", outcome.UnknownPath},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(test.steps...)
				failure := site.serve(t.Context(), test.path)
				kind := outcome.Kind(-1)
				if failure != nil {
					kind = failure.Kind
				}
				if kind != test.kind || site.client.body.String() != test.body || len(site.upstream.attempts) != test.sends {
					t.Errorf("ended as %v after %d sendings with %q", failure, len(site.upstream.attempts), site.client.body.String())
				}
			})
		})
	}
}

func TestUnsignedSuccessIsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forged := ok("yes")
		forged.reply.Signed = false
		site := newSite(forged)
		if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.AnswerInvalid || site.client.Begun() {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestResumedStreamNamesTheLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(answered(200, events(1, 2), errors.New("reset")), ok(events(3, 3)))
		if failure := site.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		if got := site.upstream.attempts[1].ResumeAfter; got != 2 {
			t.Errorf("resumed after %d, want 2", got)
		}
		if site.upstream.attempts[0].Replica == site.upstream.attempts[1].Replica {
			t.Error("resumed at the replica that failed")
		}
	})
}

func TestBudgetShrinksWithEachAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(step{silent: true}, ok("yes"))
		if failure := site.serve(t.Context(), "/again/x"); failure != nil {
			t.Fatal(failure)
		}
		first, second := site.upstream.attempts[0].Budget, site.upstream.attempts[1].Budget
		if first != 2*time.Second || second > first-200*time.Millisecond {
			t.Errorf("budgets are %v and %v of 2 s", first, second)
		}
	})
}

// Cold requests: the model is not loaded when they arrive.

func TestEndAnswersWhatWaitsAndWhatRuns(t *testing.T) {
	for name, test := range map[string]struct {
		path  string
		steps []step
		cold  bool
		kind  outcome.Kind
	}{
		"waiting for its model": {"/resume/x", nil, true, outcome.Stopping},
		"running at a replica":  {"/once/x", []step{{silent: true}}, false, outcome.DeadlineRunning},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := newSite(test.steps...)
				if test.cold {
					site.show()
				}
				time.AfterFunc(100*time.Millisecond, site.relay.End)
				if failure := site.serve(t.Context(), test.path); failure == nil || failure.Kind != test.kind {
					t.Errorf("ended as %v, want %v", failure, test.kind)
				}
			})
		})
	}
}

func TestStoppingDaemonRefusesNewRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(ok("yes"))
		site.relay.Refuse()
		if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Stopping {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestClientThatLeavesEndsItsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(step{silent: true})
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(100*time.Millisecond, cancel)
		if failure := site.serve(ctx, "/once/x"); failure == nil || failure.Kind != outcome.CallerGone {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestRequestThatBreaksReplicasIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(lost, lost, lost, ok("yes"))
		for range suspectLimit {
			_ = site.serve(t.Context(), "/once/x")
		}
		if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Quarantined {
			t.Errorf("ended as %v", failure)
		}
	})
}

func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(lost, rejected(false), rejected(false), rejected(false), rejected(false))
		failure := site.serve(t.Context(), "/again/x")
		if failure == nil || failure.Kind.Entry().Word == outcome.NotRun {
			t.Errorf("ended as %v, though a replica may have run the request", failure)
		}
	})
}

func TestConfigurationNeverFallsBack(t *testing.T) {
	site := newSite()
	if site.relay.Configure(&topology.Configuration{Version: 1}) || !site.relay.Configure(&topology.Configuration{Version: 3}) ||
		site.relay.Configure(&topology.Configuration{Version: 2}) || site.relay.Configuration().Version != 3 {
		t.Errorf("version %d is in force, want 3", site.relay.Configuration().Version)
	}
}

func TestPickTargetKeepsWeights(t *testing.T) {
	counts := map[string]int{}
	for id := range 1000 {
		counts[pickTarget([]topology.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, fmt.Sprint(id))]++
	}
	if counts["a"] < 850 || counts["a"] > 950 {
		t.Errorf("shares are %v, want 90 to 10", counts)
	}
}

// TestSilentRowEndsNoRunningWork covers a replica whose row lapses while it works on: what it runs is neither given up nor
// started again elsewhere.
func TestSilentRowEndsNoRunningWork(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		synctest.Test(t, func(t *testing.T) {
			reader, writer := io.Pipe()
			running := ok("")
			running.reply.Body = reader
			site := newSite(running, ok(events(1, 9)))
			go func() {
				for id := range 6 {
					time.Sleep(500 * time.Millisecond)
					if id == 2 {
						site.directory.SetReplicas(nil)
					}
					_, _ = io.WriteString(writer, events(id+1, id+1))
				}
				_ = writer.Close()
			}()
			failure := site.serve(t.Context(), path)
			if failure != nil || len(site.upstream.attempts) != 1 || site.client.body.String() != events(1, 6) {
				t.Errorf("%s ended as %v after %d sendings with %q", path, failure, len(site.upstream.attempts), site.client.body.String())
			}
		})
	}
}
