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
		place := newPlace("a", &tenure{}, &engineSim{})
		place.tenure.grant(1, time.Minute)
		place.want("m3", 1)
		place.run(t, 2*time.Second)
		announced, err := place.Sync(t.Context(), mesh.Report{Name: "d", OnlyAsk: true})
		if err != nil || len(announced.Placements) != 1 || !announced.Placements[0].Holding.Has("m3", "") {
			t.Errorf("announced %+v, %v", announced, err)
		}
		if place.sim.loads("m3") != 1 {
			t.Errorf("ordered %d loads, want one", place.sim.loads("m3"))
		}
	})
}

// TestRestingEngineGetsNothing covers an engine that wants nothing for a while: neither an order nor a question goes there,
// and what is wanted is loaded right after. The end of the wait is nobody's word but its own.
func TestRestingEngineGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := newPlace("a", &tenure{}, &engineSim{})
		place.tenure.grant(1, time.Minute)
		back := time.Now().Add(2 * time.Second)
		place.deps.Backoff = func(_ topology.Incarnation, now time.Time) (time.Time, bool) { return back, now.Before(back) }
		place.want("m3", 1)
		place.run(t, 1900*time.Millisecond)
		if len(place.sim.log) != 0 {
			t.Errorf("%d orders arrived during the rest", len(place.sim.log))
		}
		place.want("m3", 1)
		place.run(t, 2*time.Second)
		if place.sim.loads("m3") != 1 || place.sim.log[0].at.Before(back) {
			t.Errorf("%d loads, the first order at %v", place.sim.loads("m3"), place.sim.log)
		}
	})
}

// TestHeirKnowsTheLoadOnItsWay hands the lease over in the middle of a load that requests wait for.
func TestHeirKnowsTheLoadOnItsWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &engineSim{}
		former := newPlace("a", &tenure{}, sim)
		former.tenure.grant(1, 5*time.Second)
		former.want("m3", 1)
		former.run(t, 200*time.Millisecond)
		announced, _ := former.Sync(t.Context(), mesh.Report{Name: "b", OnlyAsk: true})
		if len(announced.Placements) != 1 || announced.Placements[0].Loading.Model != "m3" {
			t.Fatalf("announced %+v", announced.Placements)
		}
		ready := announced.Placements[0].Loading.Ready
		heir := newPlace("b", &tenure{former: lease.Holder{Name: "a"}}, sim)
		heir.loadings = map[topology.Incarnation]directory.Loading{announced.Placements[0].Incarnation: announced.Placements[0].Loading}
		heir.tenure.grant(2, time.Minute)
		heir.want("m3", 1)
		heir.run(t, 300*time.Millisecond)
		announced, _ = heir.Sync(t.Context(), mesh.Report{Name: "d", OnlyAsk: true})
		if len(announced.Forecasts) != 1 || !announced.Forecasts[0].Ready.Equal(ready) {
			t.Errorf("forecasts %+v, want the former holder's %s", announced.Forecasts, ready)
		}
		heir.want("m3", 1)
		heir.run(t, 5*time.Second)
		announced, _ = heir.Sync(t.Context(), mesh.Report{Name: "d", OnlyAsk: true})
		if len(announced.Placements) != 1 || !announced.Placements[0].Holding.Has("m3", "") || sim.loads("m3") != 1 {
			t.Errorf("announced %+v after %d loads", announced.Placements, sim.loads("m3"))
		}
	})
}

// TestHeirForgetsALoadThatIsNotThere takes over from a holder whose load never reached the engine.
func TestHeirForgetsALoadThatIsNotThere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		heir := newPlace("b", &tenure{former: lease.Holder{Name: "a"}}, &engineSim{})
		heir.loadings = map[topology.Incarnation]directory.Loading{
			{ID: "e", Started: 1}: {Model: "m3", FromStore: true, Ready: time.Now().Add(time.Minute)},
		}
		heir.tenure.grant(2, time.Minute)
		heir.want("m3", 1)
		heir.run(t, 6*time.Second)
		if heir.sim.loads("m3") != 1 {
			t.Errorf("%d loads, want one of the heir's own", heir.sim.loads("m3"))
		}
	})
}

func TestLostAnswerIsSettledByAReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := newPlace("a", &tenure{}, &engineSim{lose: 1})
		place.tenure.grant(1, time.Minute)
		place.want("m3", 1)
		place.run(t, 4*time.Second)
		if place.sim.loads("m3") != 1 || !place.sim.state.Has("m3", "") {
			t.Errorf("ordered %d loads, engine holds %+v", place.sim.loads("m3"), place.sim.state.Models)
		}
	})
}

// TestLateOrderDoesNoHarm covers orders that get no answer and are carried out seconds later, after others.
func TestLateOrderDoesNoHarm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &engineSim{late: 2}
		place := newPlace("a", &tenure{}, sim)
		place.tenure.grant(1, time.Minute)
		for _, model := range []string{"m0", "m1", "m2", "m3"} {
			place.want(model, 1)
			place.run(t, 3*time.Second)
		}
		place.run(t, 10*time.Second)
		if sim.memory > 2 {
			t.Errorf("the engine had to hold %d models at once, it has room for 2", sim.memory)
		}
		if !sim.state.Has("m3", "") {
			t.Errorf("the last model is missing: %+v", sim.state.Models)
		}
	})
}

// TestHoldersNeverTakeTurnsWithinTheTurnover covers a holder that freezes and one that takes over.
func TestHoldersNeverTakeTurnsWithinTheTurnover(t *testing.T) {
	for frozen := time.Duration(0); frozen < 1500*time.Millisecond; frozen += 100 * time.Millisecond {
		t.Run(frozen.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				sim := &engineSim{}
				first := newPlace("a", &tenure{}, sim)
				second := newPlace("b", &tenure{former: lease.Holder{Name: "a"}}, sim)
				first.tenure.grant(1, 2*time.Second)
				first.want("m0", 1)
				first.run(t, frozen)
				time.Sleep(2*time.Second - frozen)
				second.tenure.grant(2, time.Minute)
				second.want("m1", 1)
				// The first one wakes and does not know that its term is over but by its clock.
				first.want("m2", 1)
				first.run(t, time.Second)
				for range 6 {
					second.want("m1", 1)
					second.run(t, time.Second)
				}
				check(t, sim.log)
				if sim.loads("m1") == 0 {
					t.Error("the second holder sent no order")
				}
			})
		})
	}
}

// check asserts that orders of different holders are apart, and that tokens never fall.
func check(t *testing.T, log []received) {
	t.Helper()
	for i := 1; i < len(log); i++ {
		before, next := log[i-1], log[i]
		if next.fence < before.fence {
			t.Errorf("order %d has token %d after %d", i, next.fence, before.fence)
		}
		if next.holder != before.holder && next.at.Sub(before.at) < 3*time.Second {
			t.Errorf("holders took turns within %v", next.at.Sub(before.at))
		}
	}
}

func TestOrdersEndWithTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := newPlace("a", &tenure{}, &engineSim{})
		place.tenure.grant(1, time.Second)
		place.run(t, 1500*time.Millisecond)
		if _, err := place.Sync(t.Context(), mesh.Report{Name: "d"}); err == nil {
			t.Error("took a report after the term")
		}
		place.want("m1", 1)
		place.run(t, time.Second)
		if place.sim.loads("m1") != 0 {
			t.Error("sent an order after the term")
		}
	})
}

func TestRestartedHolderSendsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		place := newPlace("a", &tenure{former: lease.Holder{Name: "a", Incarnation: "before"}}, &engineSim{})
		place.tenure.grant(2, time.Minute)
		place.want("m1", 1)
		place.run(t, time.Second)
		if place.sim.loads("m1") != 1 {
			t.Errorf("sent %d orders within a second", place.sim.loads("m1"))
		}
	})
}

// TestPausedHolderSendsNothingAfterItsTerm covers a process that is paused between its decision and the sending.
func TestPausedHolderSendsNothingAfterItsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := &engineSim{}
		place := newPlace("a", &tenure{}, sim)
		place.tenure.grant(1, 2*time.Second)
		decided := residency.Order{Engine: topology.Incarnation{ID: "e", Started: 1}, Model: "m1"}
		time.Sleep(10 * time.Second)
		if _, err := place.order(t.Context(), decided, 1); !errors.Is(err, errTermEnded) || len(sim.log) != 0 {
			t.Errorf("after the pause %d orders were sent, %v", len(sim.log), err)
		}
		place.tenure.grant(2, 2*time.Second)
		if _, err := place.order(t.Context(), decided, 1); !errors.Is(err, errTermEnded) || len(sim.log) != 0 {
			t.Errorf("in a later term %d orders of the former were sent, %v", len(sim.log), err)
		}
	})
}
