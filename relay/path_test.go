package relay

import (
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/topology"
)

// always returns a path that is in the state.
func always(state reach.State) func(string) reach.State {
	return func(string) reach.State { return state }
}

// TestRequestsThatRunOnceGoOnProvedPathsOnly guards against issue 49: requests that may run once were sent on connections that yield
// nothing, one after the other, and lost.
func TestRequestsThatRunOnceGoOnProvedPathsOnly(t *testing.T) {
	// after returns paths that change their state after a second.
	after := func(next reach.State) func(string) reach.State {
		begun := time.Now()
		return func(string) reach.State {
			if time.Since(begun) < time.Second {
				return reach.Suspected
			}
			return next
		}
	}
	cases := []struct {
		name, target string
		path         func() func(string) reach.State
		lent         []lentStep
		// body is that of the answer, and failure -1 if there is one. sentAfter is when the request is sent to a replica; it is
		// negative if it is not.
		body      string
		failure   outcome.Kind
		sentAfter time.Duration
	}{
		{"sound", "/once/x", func() func(string) reach.State { return always(reach.Sound) }, nil, "own", -1, 0},
		{"proved after a second", "/once/x", func() func(string) reach.State { return after(reach.Sound) }, nil, "own", -1, time.Second},
		{"dead after a second", "/once/x", func() func(string) reach.State { return after(reach.Dead) }, []lentStep{{step: ok("lent")}}, "lent", -1, -1},
		{"dead, and no daemon takes it", "/once/x", func() func(string) reach.State { return always(reach.Dead) }, nil, "", outcome.UpstreamRefused, -1},
		{"silent for all for long", "/once/x", func() func(string) reach.State { return always(reach.Absent) }, nil, "", outcome.UpstreamRefused, -1},
		{"suspected until the deadline", "/once/x", func() func(string) reach.State { return always(reach.Suspected) }, nil, "", outcome.DeadlineInQueue, -1},
		{"suspected, and may run again", "/again/x", func() func(string) reach.State { return always(reach.Suspected) }, nil, "own", -1, 0},
		{"one of two is sound", "/once/x", func() func(string) reach.State {
			return func(id string) reach.State { return map[string]reach.State{"plaina": reach.Suspected}[id] }
		}, nil, "own", -1, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(ok("own"))
				begun := time.Now()
				fixture.relay.deps.Lender = &lenders{path: c.path(), steps: c.lent}
				failure := fixture.serve(t.Context(), c.target)
				kind := outcome.Kind(-1)
				if failure != nil {
					kind = failure.Kind
				}
				if kind != c.failure || fixture.client.body.String() != c.body {
					t.Errorf("ended as %v with %q", failure, fixture.client.body.String())
				}
				if failure != nil && failure.Kind.Entry().Execution != outcome.NotRun {
					t.Errorf("%v does not say that the request has not run", failure)
				}
				sent := fixture.upstream.sent
				if (len(sent) > 0) != (c.sentAfter >= 0) {
					t.Fatalf("sent %d times", len(sent))
				}
				if len(sent) > 0 && sent[0].Sub(begun).Round(2*pathPollInterval) != c.sentAfter {
					t.Errorf("sent after %v", sent[0].Sub(begun))
				}
			})
		})
	}
}

// cutLenders is a Lender to which all paths are sound until a time.
type cutLenders struct {
	*lenders
	from time.Time
}

func (lenders *cutLenders) CutOff() bool {
	return lenders.lenders.CutOff() && !time.Now().Before(lenders.from)
}

func (lenders *cutLenders) Path(replica topology.Incarnation, address string) reach.State {
	if time.Now().Before(lenders.from) {
		return reach.Sound
	}
	return lenders.lenders.Path(replica, address)
}

// TestSilenceEndsNoAttempt guards against a daemon that ended an attempt whose replica was silent for a while, since two connections to
// other replicas could not be opened or the daemon counted as cut off. An attempt whose own path is lost is ended and passed on.
func TestSilenceEndsNoAttempt(t *testing.T) {
	unsent := step{err: exchange.ErrNotSent}
	pausing := func() step { return parted(io.EOF, part{0, events(1, 2)}, part{2 * time.Second, events(3, 4)}) }
	cases := []struct {
		name   string
		cutOff bool
		path   func(string) reach.State
		lent   int
	}{
		{"others are not reached", false, nil, 0},
		{"cut off, the path is only suspected", true, always(reach.Suspected), 0},
		{"cut off, the path is dead", true, always(reach.Dead), 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(pausing(), unsent, unsent, unsent, unsent)
				lender := &lenders{steps: []lentStep{{step: ok(events(3, 4))}}}
				lender.cutOff, lender.path = c.cutOff, c.path
				fixture.relay.deps.Lender = &cutLenders{lender, time.Now().Add(500 * time.Millisecond)}
				failure := fixture.serve(t.Context(), "/resume/x")
				synctest.Wait()
				if failure != nil || fixture.client.body.String() != events(1, 4) {
					t.Errorf("ended as %v with %q", failure, fixture.client.body.String())
				}
				if len(lender.allowances) != c.lent {
					t.Errorf("passed on %d times", len(lender.allowances))
				}
			})
		})
	}
}

// TestResetRequestsArePassedOn guards against issue 49: a request that may be repeated and whose new connection was reset was sent on the
// next path of the same kind, although no path is sound.
func TestResetRequestsArePassedOn(t *testing.T) {
	reset := step{err: errors.Join(exchange.ErrLost, exchange.ErrReset)}
	for _, c := range []struct {
		target string
		path   func(string) reach.State
		body   string
		own    int
	}{
		{"/again/x", always(reach.Suspected), "lent", 1},
		{"/again/x", func(id string) reach.State { return map[string]reach.State{"plaina": reach.Suspected}[id] }, "own", 2},
	} {
		fixture := newFixture(reset, ok("own"))
		saveRetries(fixture)
		fixture.relay.deps.Lender = &lenders{path: c.path, steps: []lentStep{{step: ok("lent")}}}
		failure := fixture.serve(t.Context(), c.target)
		if failure != nil || fixture.client.body.String() != c.body {
			t.Errorf("%s ended as %v with %q", c.target, failure, fixture.client.body.String())
		}
		if len(fixture.upstream.attempts) != c.own {
			t.Errorf("%s was sent %d times", c.target, len(fixture.upstream.attempts))
		}
	}
}
