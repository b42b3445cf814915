package scheduler

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

func TestAwaitedModelIsLoadedAndAnnounced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture("a", &fakeLease{}, &fakeEngine{})
		fixture.lease.grant(1, time.Minute)
		fixture.request("m3", 1)
		fixture.run(t, 2*time.Second)
		announced, err := fixture.Sync(t.Context(), mesh.Report{Name: "d", PollOnly: true})
		if err != nil || len(announced.Placements) != 1 || !announced.Placements[0].Holding.Has("m3", "") {
			t.Errorf("announced %+v, %v", announced, err)
		}
		if fixture.engine.loads("m3") != 1 {
			t.Errorf("ordered %d loads, want one", fixture.engine.loads("m3"))
		}
	})
}

// TestEngineInBackoffGetsNoCalls covers an engine that asks for a pause: it receives neither orders nor queries
// until the pause ends, and then at once the load that requests wait for. Nothing else ends the pause earlier.
func TestEngineInBackoffGetsNoCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture("a", &fakeLease{}, &fakeEngine{})
		fixture.lease.grant(1, time.Minute)
		end := time.Now().Add(2 * time.Second)
		fixture.deps.Backoff = func(_ topology.Incarnation, now time.Time) (time.Time, bool) { return end, now.Before(end) }
		fixture.request("m3", 1)
		fixture.run(t, 1900*time.Millisecond)
		if len(fixture.engine.log) != 0 {
			t.Errorf("%d orders arrived during the backoff", len(fixture.engine.log))
		}
		fixture.request("m3", 1)
		fixture.run(t, 2*time.Second)
		if fixture.engine.loads("m3") != 1 || fixture.engine.log[0].at.Before(end) {
			t.Errorf("%d loads, the first order at %v", fixture.engine.loads("m3"), fixture.engine.log)
		}
	})
}

// TestSuccessorInheritsLoadInProgress transfers the lease during a load that requests wait for.
func TestSuccessorInheritsLoadInProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		former := newFixture("a", &fakeLease{}, engine)
		former.lease.grant(1, 5*time.Second)
		former.request("m3", 1)
		former.run(t, 200*time.Millisecond)
		announced, _ := former.Sync(t.Context(), mesh.Report{Name: "b", PollOnly: true})
		if len(announced.Placements) != 1 || announced.Placements[0].Loading.Model != "m3" {
			t.Fatalf("announced %+v", announced.Placements)
		}
		ready := announced.Placements[0].Loading.Ready
		successor := newFixture("b", &fakeLease{former: lease.Holder{Name: "a"}}, engine)
		successor.loadings = map[topology.Incarnation]directory.Loading{announced.Placements[0].Incarnation: announced.Placements[0].Loading}
		successor.lease.grant(2, time.Minute)
		successor.request("m3", 1)
		successor.run(t, 300*time.Millisecond)
		announced, _ = successor.Sync(t.Context(), mesh.Report{Name: "d", PollOnly: true})
		if len(announced.Forecasts) != 1 || !announced.Forecasts[0].Ready.Equal(ready) {
			t.Errorf("forecasts %+v, want the former holder's %s", announced.Forecasts, ready)
		}
		successor.request("m3", 1)
		successor.run(t, 5*time.Second)
		announced, _ = successor.Sync(t.Context(), mesh.Report{Name: "d", PollOnly: true})
		if len(announced.Placements) != 1 || !announced.Placements[0].Holding.Has("m3", "") || engine.loads("m3") != 1 {
			t.Errorf("announced %+v after %d loads", announced.Placements, engine.loads("m3"))
		}
	})
}

// TestSuccessorDropsLoadThatDidNotStart takes over from a holder whose announced load never reached the engine.
func TestSuccessorDropsLoadThatDidNotStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		successor := newFixture("b", &fakeLease{former: lease.Holder{Name: "a"}}, &fakeEngine{})
		successor.loadings = map[topology.Incarnation]directory.Loading{
			{ID: "e", Started: 1}: {Model: "m3", FromStore: true, Ready: time.Now().Add(time.Minute)},
		}
		successor.lease.grant(2, time.Minute)
		successor.request("m3", 1)
		successor.run(t, 6*time.Second)
		if successor.engine.loads("m3") != 1 {
			t.Errorf("%d loads, want one by the successor", successor.engine.loads("m3"))
		}
	})
}

func TestLostResponseIsResolvedByReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture("a", &fakeLease{}, &fakeEngine{lostResponses: 1})
		fixture.lease.grant(1, time.Minute)
		fixture.request("m3", 1)
		fixture.run(t, 4*time.Second)
		if fixture.engine.loads("m3") != 1 || !fixture.engine.state.Has("m3", "") {
			t.Errorf("ordered %d loads, engine holds %+v", fixture.engine.loads("m3"), fixture.engine.state.Models)
		}
	})
}

// TestConflictIsSettledByReport guards against repeated orders to an engine that is busy for longer than expected with
// an unload: one conflict, then its report, then the order that the report allows.
func TestConflictIsSettledByReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{unloadTime: 400 * time.Millisecond}
		fixture := newFixture("a", &fakeLease{}, engine)
		fixture.lease.grant(1, time.Minute)
		for _, model := range []string{"m0", "m1", "m2"} {
			fixture.request(model, 1)
			fixture.run(t, 3*time.Second)
		}
		if engine.conflicts != 1 || !engine.state.Has("m2", "") {
			t.Errorf("%d conflicts, want 1; the engine holds %+v", engine.conflicts, engine.state.Models)
		}
	})
}

// TestConflictWithUnseenOrderIsSettledAtOnce covers an engine that has accepted an order which the holder does not know.
func TestConflictWithUnseenOrderIsSettledAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		fixture := newFixture("a", &fakeLease{}, engine)
		fixture.lease.grant(1, time.Minute)
		fixture.run(t, time.Second)
		engine.state.Orders = 7
		fixture.request("m1", 1)
		fixture.run(t, 100*time.Millisecond)
		if engine.conflicts != 1 || engine.loads("m1") != 2 || engine.log[1].After != 7 {
			t.Errorf("%d conflicts after orders %+v, want one and a second order after 7", engine.conflicts, engine.log)
		}
	})
}

// TestOrderInFlightCountsInThePlan guards against a second load of a model, or one more from the weight store, while the
// response to the first order is on its way; and against a model that waits for an engine which does not answer.
func TestOrderInFlightCountsInThePlan(t *testing.T) {
	for _, c := range []struct {
		tier  residency.Tier
		after time.Duration
		want  string
	}{
		{residency.Disk, sentCounts / 2, "m"},
		{residency.Disk, sentCounts, ""},
		{residency.Store, sentCounts, "m"},
		{residency.Store, 2 * time.Second, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture("a", &fakeLease{}, &fakeEngine{delayedOrders: 1})
			fixture.lease.grant(1, time.Minute)
			fixture.run(t, time.Second)
			incarnation := topology.Incarnation{ID: "e", Started: 1}
			fixture.mutex.Lock()
			fixture.startSend(t.Context(), residency.Order{Engine: incarnation, Model: "m", Tier: c.tier}, &topology.Service{Engine: &topology.EngineSpec{}})
			fixture.mutex.Unlock()
			time.Sleep(c.after)
			fixture.mutex.Lock()
			defer fixture.mutex.Unlock()
			if got := fixture.engines[incarnation].view(time.Now(), newTotals(), false, 0).Loading; got != c.want {
				t.Errorf("%s, %v after the order: %q is being loaded, want %q", c.tier, c.after, got, c.want)
			}
		})
	}
}

// TestDelayedOrdersDoNotOvercommit covers orders without a response that the engine executes seconds later, after
// others.
func TestDelayedOrdersDoNotOvercommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{delayedOrders: 2}
		fixture := newFixture("a", &fakeLease{}, engine)
		fixture.lease.grant(1, time.Minute)
		for _, model := range []string{"m0", "m1", "m2", "m3"} {
			fixture.request(model, 1)
			fixture.run(t, 3*time.Second)
		}
		fixture.run(t, 10*time.Second)
		if engine.maxModels > 2 {
			t.Errorf("the engine had to hold %d models at once, but has memory for 2", engine.maxModels)
		}
		if !engine.state.Has("m3", "") {
			t.Errorf("the last model is missing: %+v", engine.state.Models)
		}
	})
}

// TestOrdersOfTwoHoldersAreSeparatedByTurnover covers a holder that is paused for part of its term, and its
// successor.
func TestOrdersOfTwoHoldersAreSeparatedByTurnover(t *testing.T) {
	for active := time.Duration(0); active < 1500*time.Millisecond; active += 100 * time.Millisecond {
		t.Run(active.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				engine := &fakeEngine{}
				first := newFixture("a", &fakeLease{}, engine)
				second := newFixture("b", &fakeLease{former: lease.Holder{Name: "a"}}, engine)
				first.lease.grant(1, 2*time.Second)
				first.request("m0", 1)
				first.run(t, active)
				time.Sleep(2*time.Second - active)
				second.lease.grant(2, time.Minute)
				second.request("m1", 1)
				// The first holder resumes and can detect only by its clock that its term is over.
				first.request("m2", 1)
				first.run(t, time.Second)
				for range 6 {
					second.request("m1", 1)
					second.run(t, time.Second)
				}
				checkTurnover(t, engine.log)
				if engine.loads("m1") == 0 {
					t.Error("the second holder sent no order")
				}
			})
		})
	}
}

// checkTurnover checks that orders of different holders are at least 3 s apart and that fencing tokens never
// decrease.
func checkTurnover(t *testing.T, log []received) {
	t.Helper()
	for i := 1; i < len(log); i++ {
		before, next := log[i-1], log[i]
		if next.fence < before.fence {
			t.Errorf("order %d has token %d after %d", i, next.fence, before.fence)
		}
		if next.holder != before.holder && next.at.Sub(before.at) < 3*time.Second {
			t.Errorf("orders of two holders are only %v apart", next.at.Sub(before.at))
		}
	}
}

// TestTurnoverCountsFromTheEndOfTheFormerHolder covers a successor that acquires the lease some time after the former holder
// could last send orders: that time is not waited for twice.
func TestTurnoverCountsFromTheEndOfTheFormerHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := time.Now()
		time.Sleep(time.Second)
		fixture := newFixture("b", &fakeLease{former: lease.Holder{Name: "a"}, formerEnded: ended}, &fakeEngine{})
		fixture.lease.grant(2, time.Minute)
		for range 3 {
			fixture.request("m1", 1)
			fixture.run(t, time.Second)
		}
		if at := fixture.engine.log[0].at.Sub(ended); at < 3*time.Second || at > 3200*time.Millisecond {
			t.Errorf("the first order came %v after the end of the former holder, want 3 s", at)
		}
	})
}

func TestNoOrdersAfterTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture("a", &fakeLease{}, &fakeEngine{})
		fixture.lease.grant(1, time.Second)
		fixture.run(t, 1500*time.Millisecond)
		if _, err := fixture.Sync(t.Context(), mesh.Report{Name: "d"}); err == nil {
			t.Error("Sync accepted a report after the term")
		}
		fixture.request("m1", 1)
		fixture.run(t, time.Second)
		if fixture.engine.loads("m1") != 0 {
			t.Error("sent an order after the term")
		}
	})
}

func TestRestartedHolderSendsWithoutTurnover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := newFixture("a", &fakeLease{former: lease.Holder{Name: "a", Incarnation: "before"}}, &fakeEngine{})
		fixture.lease.grant(2, time.Minute)
		fixture.request("m1", 1)
		fixture.run(t, time.Second)
		if fixture.engine.loads("m1") != 1 {
			t.Errorf("sent %d orders within a second", fixture.engine.loads("m1"))
		}
	})
}

// TestPausedHolderSendsNothingAfterItsTerm covers a process that is paused between planning an order and sending
// it.
func TestPausedHolderSendsNothingAfterItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		fixture := newFixture("a", &fakeLease{}, engine)
		fixture.lease.grant(1, 2*time.Second)
		decided := residency.Order{Engine: topology.Incarnation{ID: "e", Started: 1}, Model: "m1"}
		time.Sleep(10 * time.Second)
		if _, err := fixture.sendOrder(t.Context(), decided, 1); !errors.Is(err, errTermEnded) || len(engine.log) != 0 {
			t.Errorf("after the pause %d orders were sent, %v", len(engine.log), err)
		}
		fixture.lease.grant(2, 2*time.Second)
		if _, err := fixture.sendOrder(t.Context(), decided, 1); !errors.Is(err, errTermEnded) || len(engine.log) != 0 {
			t.Errorf("in a later term %d orders of the former one were sent, %v", len(engine.log), err)
		}
	})
}
