package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/topology"
)

// lenders is a Lender that returns the scripted steps in order.
type lenders struct {
	cutOff bool
	// path returns the state of the path to a replica; nil means that it is sound, or closed if lost lists it.
	path func(id string) reach.State
	// lost lists the replicas that the daemon failed to reach.
	lost       []string
	steps      []lentStep
	allowances []Allowance
}

// lentStep is the scripted result of one attempt through another daemon.
type lentStep struct {
	step
	refusal *Refusal
	release string
}

func (lenders *lenders) CutOff() bool     { return lenders.cutOff }
func (lenders *lenders) AnyDoubted() bool { return len(lenders.lost) > 0 || lenders.path != nil }
func (lenders *lenders) Path(replica topology.Incarnation, _ string) reach.State {
	if lenders.path != nil {
		return lenders.path(replica.ID)
	}
	if slices.Contains(lenders.lost, replica.ID) {
		return reach.Closed
	}
	return reach.Sound
}

func (lenders *lenders) Lend(_ context.Context, _ *exchange.Request, _ time.Duration, allowance Allowance) (*LentReply, error) {
	at := len(lenders.allowances)
	lenders.allowances = append(lenders.allowances, allowance)
	switch {
	case at >= len(lenders.steps):
		return nil, exchange.ErrNotSent
	case lenders.steps[at].refusal != nil:
		return nil, lenders.steps[at].refusal
	case lenders.steps[at].err != nil:
		return nil, lenders.steps[at].err
	}
	return &LentReply{Reply: lenders.steps[at].reply, Daemon: "other", Release: lenders.steps[at].release, Runs: 1}, nil
}

// TestRequestsOfCutOffDaemonsArePassedOn guards against issue 42: a daemon that reached no replica refused what others could serve.
func TestRequestsOfCutOffDaemonsArePassedOn(t *testing.T) {
	unsent := step{err: exchange.ErrNotSent}
	full := &Refusal{Failure: outcome.New(outcome.QueueFull, "full").WithRetryAfter(time.Second)}
	cases := []struct {
		name, path string
		cutOff     bool
		// own and lent are the results of attempts of this daemon and through others.
		own  []step
		lent []lentStep
		body string
		// failure is -1 if the request is answered; ownCount and lentCount are the attempts that must be made.
		failure             outcome.Kind
		ownCount, lentCount int
	}{
		{"cut off", "/once/x", true, nil, []lentStep{{step: ok("answer")}}, "answer", -1, 0, 1},
		{"not cut off", "/once/x", false, []step{ok("answer")}, nil, "answer", -1, 1, 0},
		{"two replicas not reached", "/once/x", false, []step{unsent, unsent}, []lentStep{{step: ok("answer")}}, "answer", -1, 2, 1},
		{"one replica not reached", "/once/x", false, []step{unsent, ok("answer")}, nil, "answer", -1, 2, 0},
		{"no daemon takes it", "/once/x", true, []step{ok("answer")}, nil, "answer", -1, 1, 1},
		{"refused by the other daemon", "/once/x", true, nil, []lentStep{{refusal: full}}, "", outcome.QueueFull, 0, 1},
		{"may have run once", "/once/x", true, nil, []lentStep{{step: lost}, {step: ok("twice")}}, "", outcome.UpstreamLost, 0, 1},
		{"may run again", "/again/x", true, nil, []lentStep{{step: lost}, {step: ok("answer")}}, "answer", -1, 0, 2},
		{"refused after it may have run", "/once/x", true, nil, []lentStep{{refusal: &Refusal{Failure: outcome.New(outcome.NoReplica, "gone"), Runs: 1}}}, "", outcome.UpstreamLost, 0, 1},
		{
			"a stream goes on through another daemon", "/resume/x", true, nil,
			[]lentStep{{step: answered(200, events(1, 2), errBroken), release: "v1"}, {step: ok(events(3, 4)), release: "v1"}},
			events(1, 4), -1, 0, 2,
		},
		{
			"a begun stream is refused by the other daemon for a moment", "/resume/x", true, nil,
			[]lentStep{{step: answered(200, events(1, 2), errBroken), release: "v1"}, {refusal: full}, {refusal: full}, {step: ok(events(3, 4)), release: "v1"}},
			events(1, 4), -1, 0, 4,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fixture := newFixture(c.own...)
			saveRetries(fixture)
			lender := &lenders{cutOff: c.cutOff, steps: c.lent}
			fixture.relay.deps.Lender = lender
			failure := fixture.serve(t.Context(), c.path)
			kind := outcome.Kind(-1)
			if failure != nil {
				kind = failure.Kind
			}
			if kind != c.failure || fixture.client.body.String() != c.body {
				t.Errorf("ended as %v with %q", failure, fixture.client.body.String())
			}
			if len(fixture.upstream.attempts) != c.ownCount || len(lender.allowances) != c.lentCount {
				t.Errorf("%d own attempts, %d through others", len(fixture.upstream.attempts), len(lender.allowances))
			}
		})
	}
}

// TestLostReplicasAreAvoided covers a daemon that reaches some replicas only: requests go to these, and to another daemon if there
// are none.
func TestLostReplicasAreAvoided(t *testing.T) {
	for _, lost := range [][]string{{"plaina"}, {"plainb"}, {"plaina", "plainb"}} {
		fixture := newFixture(ok("own"))
		fixture.relay.deps.Lender = &lenders{lost: lost, steps: []lentStep{{step: ok("lent")}}}
		if failure := fixture.serve(t.Context(), "/once/x"); failure != nil {
			t.Errorf("%v lost: %v", lost, failure)
		}
		want := "own"
		if len(lost) == 2 {
			want = "lent"
		}
		if fixture.client.body.String() != want {
			t.Errorf("%v lost: answered %q", lost, fixture.client.body.String())
		}
		for _, attempt := range fixture.upstream.attempts {
			if slices.Contains(lost, attempt.Replica.ID) {
				t.Errorf("%v lost: sent to %s", lost, attempt.Replica.ID)
			}
		}
	}
}

// TestLentRequests checks what a daemon does for another one: one hop, no more attempts than allowed, and the stream goes on where it
// was.
func TestLentRequests(t *testing.T) {
	serve := func(fixture *fixture, path string, allowance Allowance) (Summary, *outcome.Error) {
		return fixture.relay.ServeLent(t.Context(), fixture.request(path), allowance, &fixture.client)
	}
	fixture := newFixture(lost, ok("answer"))
	fixture.relay.deps.Lender = &lenders{cutOff: true, steps: []lentStep{{step: ok("two hops")}}}
	if summary, failure := serve(fixture, "/again/x", Allowance{Attempts: 1, Configuration: 1}); failure == nil || summary.Runs != 1 {
		t.Errorf("more attempts than allowed: %v, %+v", failure, summary)
	}
	fixture = newFixture(ok(events(3, 4)))
	fixture.setReleases(takeUpReleases)
	if _, failure := serve(fixture, "/resume/x", Allowance{Attempts: 1, Service: "engine", Release: "v2", ResumeAfter: exchange.NewEventID(2)}); failure != nil {
		t.Errorf("the stream does not go on: %v", failure)
	}
	if attempt := fixture.upstream.attempts[0]; attempt.Replica.ID != "b" || attempt.ResumeAfter != exchange.NewEventID(2) {
		t.Errorf("the stream goes on at %+v", attempt)
	}
	if _, failure := serve(fixture, "/resume/x", Allowance{Attempts: 1, Configuration: 2}); failure == nil || failure.Kind != outcome.NotReady {
		t.Errorf("an older configuration serves the request: %v", failure)
	}
}

// TestLentRequestsOnPathsOfTheOtherDaemon guards against a daemon that served a request for another one on paths that it had found lost,
// so that requests for a service that several daemons do not reach were lost at the second one, although a third one reached it.
func TestLentRequestsOnPathsOfTheOtherDaemon(t *testing.T) {
	for _, c := range []struct {
		path  string
		state reach.State
		sent  bool
	}{
		{"/again/x", reach.Sound, true},
		{"/again/x", reach.Suspected, true},
		{"/again/x", reach.Absent, true},
		{"/again/x", reach.Closed, false},
		{"/again/x", reach.Dead, false},
		{"/resume/x", reach.Dead, false},
		{"/once/x", reach.Sound, true},
		{"/once/x", reach.Closed, false},
		{"/once/x", reach.Dead, false},
	} {
		fixture := newFixture(ok("answer"))
		fixture.relay.deps.Lender = &lenders{path: always(c.state)}
		_, failure := fixture.relay.ServeLent(t.Context(), fixture.request(c.path), Allowance{Attempts: 1, Configuration: 1}, &fixture.client)
		if sent := len(fixture.upstream.attempts) > 0; sent != c.sent {
			t.Errorf("%s on a path in state %d: sent is %v", c.path, c.state, sent)
		}
		if !c.sent && (failure == nil || failure.Kind != outcome.UpstreamRefused) {
			t.Errorf("%s on a path in state %d ends as %v", c.path, c.state, failure)
		}
	}
}
