package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// nameLimit makes the replicas name the limit.
func (fixture *fixture) nameLimit(perSecond float64, ids ...string) {
	now := time.Now()
	for _, id := range ids {
		fixture.limits.Observe(topology.Incarnation{ID: id}, ratelimit.Observation{Named: true, PerSecond: perSecond, Sent: now, Received: now})
	}
}

// endLimit makes the replica name no limit any more.
func (fixture *fixture) endLimit(id string) {
	now := time.Now()
	fixture.limits.Observe(topology.Incarnation{ID: id}, ratelimit.Observation{Conclusive: true, Sent: now, Received: now})
	fixture.relay.deps.Limiter.Prune()
}

// grant gives the daemon tokens for the replica.
func (fixture *fixture) grant(id string, tokens int) {
	replica := topology.Incarnation{ID: id}
	fixture.relay.deps.Limiter.Available(replica, true, time.Now())
	for _, ask := range fixture.relay.deps.Limiter.Due(time.Now()) {
		grant := ratelimit.Grant{Next: 10 * time.Millisecond}
		if ask.Replica == replica {
			grant.Tokens = tokens
		}
		fixture.relay.deps.Limiter.Granted(ask, grant, time.Now())
	}
}

// sentTo returns the identifiers of the replicas that got an attempt, in order.
func (fixture *fixture) sentTo() []string {
	var ids []string
	for _, attempt := range fixture.upstream.attempts {
		ids = append(ids, attempt.Replica.ID)
	}
	return ids
}

// TestLimitedReplicaGetsOnlyCountedRequests guards against requests beyond the limit that a replica named: without a
// token the other replica is chosen, with one the attempt is marked as counted.
func TestLimitedReplicaGetsOnlyCountedRequests(t *testing.T) {
	fixture := newFixture(ok("1"), ok("2"), ok("3"))
	fixture.nameLimit(1, "plaina")
	serve := func() {
		fixture.client = client{}
		if failure := fixture.serve(t.Context(), "/again/x"); failure != nil {
			t.Fatal(failure)
		}
	}
	serve()
	serve()
	if sent := fixture.sentTo(); sent[0] != "plainb" || sent[1] != "plainb" {
		t.Errorf("sent to %v without a token", sent)
	}
	fixture.grant("plaina", 1)
	serve()
	if last := fixture.upstream.attempts[2]; last.Replica.ID != "plaina" || !last.Counted {
		t.Errorf("with a token the attempt is %+v", last)
	}
}

// TestRepeatsCountAgainstLimits checks that a second attempt needs a token as the first one does.
func TestRepeatsCountAgainstLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(lost, lost, lost)
		fixture.nameLimit(1, "plaina", "plainb")
		fixture.grant("plaina", 1)
		_ = fixture.serve(t.Context(), "/again/x")
		if sent := fixture.sentTo(); len(sent) != 1 {
			t.Errorf("sent to %v with one token", sent)
		}
	})
}

// TestTokenOfAnUnsentRequestIsReturned checks that a request that could not be sent leaves its token to the next one.
func TestTokenOfAnUnsentRequestIsReturned(t *testing.T) {
	fixture := newFixture(step{err: exchange.ErrNotSent}, ok("1"))
	fixture.nameLimit(1, "plaina", "plainb")
	fixture.grant("plaina", 1)
	if failure := fixture.serve(t.Context(), "/again/x"); failure != nil || len(fixture.upstream.attempts) != 2 {
		t.Errorf("%d attempts, %v", len(fixture.upstream.attempts), failure)
	}
}

// TestRequestWaitsForToken checks how a request ends whose replicas all have used up their limits.
func TestRequestWaitsForToken(t *testing.T) {
	cases := []struct {
		name string
		// event happens a moment after the request arrives.
		event func(fixture *fixture)
		sends int
		took  time.Duration
	}{
		{"a token comes", func(fixture *fixture) { fixture.grant("plaina", 1) }, 1, 20 * time.Millisecond},
		{"the limit ends", func(fixture *fixture) { fixture.endLimit("plaina") }, 1, 20 * time.Millisecond},
		{"nothing comes", func(*fixture) {}, 0, 80 * time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(ok("1"))
				fixture.nameLimit(1, "plaina", "plainb")
				time.AfterFunc(20*time.Millisecond, func() { c.event(fixture) })
				begun := time.Now()
				failure := fixture.serve(t.Context(), "/once/x")
				if took := time.Since(begun); took != c.took {
					t.Errorf("took %v, want %v", took, c.took)
				}
				if len(fixture.upstream.attempts) != c.sends || (failure == nil) != (c.sends == 1) {
					t.Errorf("%d attempts, %v", len(fixture.upstream.attempts), failure)
				}
				if failure != nil && (failure.Kind != outcome.QueueFull || failure.RetryAfter == 0) {
					t.Errorf("refused with %v, retry after %v", failure, failure.RetryAfter)
				}
			})
		})
	}
}

// TestHopelessRequestIsRefusedAtOnce checks that a request does not wait if tokens are known to come too late for it, and
// is told when there will be one.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		fixture.nameLimit(1, "plaina", "plainb")
		for range 100 {
			for _, ask := range fixture.relay.deps.Limiter.Due(time.Now()) {
				fixture.relay.deps.Limiter.Granted(ask, ratelimit.Grant{Next: 100 * time.Millisecond}, time.Now())
			}
			for _, id := range []string{"plaina", "plainb"} {
				fixture.relay.deps.Limiter.Available(topology.Incarnation{ID: id}, true, time.Now())
			}
			time.Sleep(50 * time.Millisecond)
		}
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/once/x")
		if failure == nil || time.Since(begun) != 0 || failure.RetryAfter < time.Second {
			t.Errorf("%v after %v", failure, time.Since(begun))
		}
	})
}

// TestBegunStreamWaitsForToken guards against cutting a stream whose next replica has used up its limit.
func TestBegunStreamWaitsForToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(answered(200, events(1, 2), exchange.ErrLost), ok(events(3, 4)))
		fixture.nameLimit(1, "enginea", "engineb")
		fixture.grant("enginea", 1)
		time.AfterFunc(3*time.Second, func() { fixture.grant("engineb", 1) })
		if failure := fixture.serve(t.Context(), "/resume/x"); failure != nil || fixture.client.body.String() != events(1, 4) {
			t.Errorf("%v, the client got %q", failure, fixture.client.body.String())
		}
	})
}

// TestTokensGoToUrgentRequestsFirst checks the order in which waiting requests get tokens.
func TestTokensGoToUrgentRequestsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		fixture.nameLimit(1, "plaina")
		limiter, replica := fixture.relay.deps.Limiter, topology.Incarnation{ID: "plaina"}
		var order []string
		for index, priority := range []int{5, 1, 1, 0} {
			waiter := limiter.Wait([]topology.Incarnation{replica}, priority, time.Now().Add(time.Duration(index)), time.Now())
			name := fmt.Sprint("priority ", priority, ", request ", index)
			go func() {
				<-waiter.Ready()
				if _, ok := limiter.Leave(waiter); ok {
					order = append(order, name)
				}
			}()
		}
		for range 4 {
			fixture.grant("plaina", 1)
			synctest.Wait()
			time.Sleep(100 * time.Millisecond)
		}
		want := "[priority 0, request 3 priority 1, request 1 priority 1, request 2 priority 5, request 0]"
		if fmt.Sprint(order) != want {
			t.Errorf("the order is %v, want %v", order, want)
		}
	})
}

// BenchmarkAvailability measures the check of 64 candidates with and without a limit at another replica.
func BenchmarkAvailability(b *testing.B) {
	for _, limited := range []bool{false, true} {
		b.Run(fmt.Sprint("limited ", limited), func(b *testing.B) {
			fixture := newFixture()
			if limited {
				fixture.nameLimit(1, "engineother")
			}
			transaction := &transaction{relay: fixture.relay, request: fixture.request("/once/x")}
			candidates := fixture.directory.Replicas("plain")
			for len(candidates) < 64 {
				candidates = append(candidates, candidates[0])
			}
			now := time.Now()
			for b.Loop() {
				transaction.availability(candidates, true, now)
			}
		})
	}
}

// TestRefusalNamesTheEndOfTheLoad guards against clients that come back before their model, which only an engine with a
// used-up limit holds, is loaded elsewhere; a client whose model is loaded in time waits for it.
func TestRefusalNamesTheEndOfTheLoad(t *testing.T) {
	cases := []struct {
		name    string
		ready   time.Duration
		refused bool
	}{
		{"in time", 500 * time.Millisecond, false},
		{"too late", 6 * time.Second, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture(ok(events(1, 2)))
				fixture.nameLimit(1, "enginea", "engineb")
				fixture.directory.Apply(directory.Announcement{Fence: 1, Revision: 1, Forecasts: []directory.Forecast{
					{Key: demand.Key{Service: "engine", Model: "m"}, Ready: time.Now().Add(c.ready)},
				}})
				time.AfterFunc(c.ready, func() { fixture.endLimit("enginea") })
				begun := time.Now()
				failure := fixture.serve(t.Context(), "/stream/x")
				if (failure != nil) != c.refused {
					t.Fatalf("%v after %v", failure, time.Since(begun))
				}
				if c.refused && failure.RetryAfter != c.ready-time.Since(begun) {
					t.Errorf("retry after %v, want %v", failure.RetryAfter, c.ready-time.Since(begun))
				}
			})
		})
	}
}

// TestBegunStreamThatGetsNoTokenEndsAtItsDeadline covers a limit that leaves nothing for a begun stream until its deadline, which the
// failure must name.
func TestBegunStreamThatGetsNoTokenEndsAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(breaking(events(1, 2), 0))
		fixture.nameLimit(1, "enginea", "engineb")
		fixture.grant("enginea", 1)
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.DeadlineRunning || time.Since(begun) != 10*time.Second {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}
