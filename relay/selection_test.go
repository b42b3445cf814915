package relay

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

func TestColdRequestWaitsForItsModel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(ok(events(1, 1)))
		fixture.setModels()
		time.AfterFunc(2*time.Second, func() { fixture.setModels("m") })
		if failure := fixture.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		demands, _ := fixture.demand.Snapshot(time.Now())
		if len(demands) != 1 || demands[0].Waiting != 0 {
			t.Errorf("demand afterwards is %+v", demands)
		}
	})
}

func TestColdRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		fixture.setModels()
		ready := time.Now().Add(30 * time.Second)
		fixture.directory.Apply(directory.Announcement{Fence: 1, Revision: 1, Forecasts: []directory.Forecast{
			{Key: demand.Key{Service: "engine", Model: "m"}, Ready: ready},
		}})
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.DeadlineUnmeetable || time.Since(begun) != 0 || failure.RetryAfter != 30*time.Second {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestModelLargerThanAnyEngineIsRefusedAtOnce covers a configured model that is larger than the memory of an engine.
func TestModelLargerThanAnyEngineIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		fixture.setModels()
		changed := *fixture.relay.Configuration()
		changed.Version++
		changed.Services = map[string]topology.Service{"engine": {Name: "engine", Engine: &topology.EngineSpec{
			Slots: 8, Memory: 100, Models: map[string]topology.Model{"m": {Name: "m", Weights: 101}},
		}}}
		fixture.relay.Configure(changed.Index())
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.NoReplica || time.Since(begun) != 0 || !strings.Contains(failure.Error(), "model m is larger") {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

func TestColdRequestWithoutAHolderIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		fixture.setModels()
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.NoReplica || time.Since(begun) != 4*time.Second-firstEventReserve {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestRequestIsRefusedBeforeTheClientGivesUp covers clients that abandon a stream without an event: after a refusal
// they retry, after a longer wait they do not.
func TestRequestIsRefusedBeforeTheClientGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture()
		fixture.setModels()
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind.Entry().Execution != outcome.NotRun || failure.RetryAfter == 0 || time.Since(begun) >= 4*time.Second {
			t.Errorf("ended as %v after %v; the client leaves after 4 s", failure, time.Since(begun))
		}
	})
}

func TestRequestWaitsForModelThatTheReplicasLack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(rejected(true), rejected(true), ok(events(1, 1)))
		if failure := fixture.serve(t.Context(), "/stream/x"); failure != nil {
			// Both replicas count as lacking the model for a while; the request waits and is sent to the first one again.
			t.Errorf("ended as %v", failure)
		}
	})
}

// TestOverloadedReplicas covers more requests for a model than its replicas can begin before clients leave.
func TestOverloadedReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(ok(events(1, 1)))
		for _, id := range []string{"enginea", "engineb"} {
			fixture.relay.deps.Balancer.SetRemoteInFlight(nil)
			for range 4 * int(maxLoadRelaxed) {
				_, _ = fixture.relay.deps.Balancer.Choose([]balance.Candidate{{Incarnation: topology.Incarnation{ID: id}, Slots: 4}}, balance.Criteria{}, time.Now())
			}
		}
		begun := time.Now()
		failure := fixture.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.QueueFull || failure.RetryAfter == 0 || time.Since(begun) > time.Second {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestBegunStreamResumesAtAnOverloadedReplica breaks a stream while the only other replica is overloaded.
func TestBegunStreamResumesAtAnOverloadedReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture(answered(200, events(1, 2), errors.New("reset")), ok(events(3, 3)))
		other := balance.Candidate{Incarnation: topology.Incarnation{ID: "engineb"}, Slots: 4}
		for range 4 * int(maxLoadRelaxed) {
			_, _ = fixture.relay.deps.Balancer.Choose([]balance.Candidate{other}, balance.Criteria{}, time.Now())
		}
		if failure := fixture.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		if got := fixture.upstream.attempts[1].Replica.ID; got != "engineb" {
			t.Errorf("resumed at %s, where it broke off", got)
		}
	})
}
