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
		site := newSite(ok(events(1, 1)))
		site.show()
		time.AfterFunc(2*time.Second, func() { site.show("m") })
		if failure := site.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		wants, _ := site.demand.Snapshot(time.Now())
		if len(wants) != 1 || wants[0].Waiting != 0 {
			t.Errorf("wants afterwards are %+v", wants)
		}
	})
}

func TestColdRequestThatCannotBeServedIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite()
		site.show()
		ready := time.Now().Add(30 * time.Second)
		site.directory.Announce(directory.Announcement{Fence: 1, Revision: 1, Forecasts: []directory.Forecast{
			{Key: demand.Key{Service: "engine", Model: "m"}, Ready: ready},
		}})
		begun := time.Now()
		failure := site.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.DeadlineUnmeetable || time.Since(begun) != 0 || failure.RetryAfter != 30*time.Second {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestModelThatNoEngineCanHoldIsRefusedAtOnce covers a model that the configuration names and that is larger than any engine.
func TestModelThatNoEngineCanHoldIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite()
		site.show()
		changed := *site.relay.Configuration()
		changed.Version++
		changed.Services = map[string]topology.Service{"engine": {Name: "engine", Engine: &topology.EngineSpec{
			Slots: 8, Memory: 100, Models: map[string]topology.Model{"m": {Name: "m", Weights: 101}},
		}}}
		site.relay.Configure(changed.Index())
		begun := time.Now()
		failure := site.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.NoReplica || time.Since(begun) != 0 || !strings.Contains(failure.Error(), "model m is larger") {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

func TestColdRequestWithoutAHolderIsRefusedBeforeItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite()
		site.show()
		begun := time.Now()
		failure := site.serve(t.Context(), "/resume/x")
		if failure == nil || failure.Kind != outcome.NoReplica || time.Since(begun) != 4*time.Second-firstEventReserve {
			t.Errorf("ended as %v after %v", failure, time.Since(begun))
		}
	})
}

// TestImpatientClientIsRefusedBeforeItLeaves covers callers who leave a stream that does not begin: a refusal
// lets them come back, waiting on does not.
func TestImpatientClientIsRefusedBeforeItLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite()
		site.show()
		begun := time.Now()
		failure := site.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind.Entry().Execution != outcome.NotRun || failure.RetryAfter == 0 || time.Since(begun) >= 4*time.Second {
			t.Errorf("ended as %v after %v; the client leaves after 4 s", failure, time.Since(begun))
		}
	})
}

func TestModelThatTheReplicaLacksIsWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(rejected(true), rejected(true), ok(events(1, 1)))
		if failure := site.serve(t.Context(), "/stream/x"); failure != nil {
			// Both replicas lack the model for a while; the request waits and goes to the first again.
			t.Errorf("ended as %v", failure)
		}
	})
}

// Stops: machines are stopped in turn while requests wait and run.

func TestCrowdedReplicas(t *testing.T) {
	for path, want := range map[string]outcome.Kind{"/stream/x": outcome.QueueFull} {
		synctest.Test(t, func(t *testing.T) {
			site := newSite(ok(events(1, 1)))
			for _, id := range []string{"enginea", "engineb"} {
				site.relay.deps.Balancer.SetOthers(nil)
				for range 4 * int(fullestPatient) {
					_, _ = site.relay.deps.Balancer.Choose([]balance.Candidate{{Incarnation: topology.Incarnation{ID: id}, Slots: 4}}, balance.Ask{}, time.Now())
				}
			}
			begun := time.Now()
			failure := site.serve(t.Context(), path)
			if failure == nil || failure.Kind != want || failure.RetryAfter == 0 || time.Since(begun) > time.Second {
				t.Errorf("%s ended as %v after %v", path, failure, time.Since(begun))
			}
		})
	}
}

// TestStreamThatBeganGoesOnAtAFullReplica breaks a stream off while the only other replica is full.
func TestStreamThatBeganGoesOnAtAFullReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(answered(200, events(1, 2), errors.New("reset")), ok(events(3, 3)))
		other := balance.Candidate{Incarnation: topology.Incarnation{ID: "engineb"}, Slots: 4}
		for range 4 * int(fullestPatient) {
			_, _ = site.relay.deps.Balancer.Choose([]balance.Candidate{other}, balance.Ask{}, time.Now())
		}
		if failure := site.serve(t.Context(), "/resume/x"); failure != nil {
			t.Fatal(failure)
		}
		if got := site.upstream.attempts[1].Replica.ID; got != "engineb" {
			t.Errorf("resumed at %s, where it broke off", got)
		}
	})
}
