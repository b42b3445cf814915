package scheduler

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/klog/v2"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// tenure is a right to send orders that a test grants.
type tenure struct {
	mutex  sync.Mutex
	fence  uint64
	until  time.Time
	former lease.Holder
}

func (tenure *tenure) Held() (uint64, time.Time, bool) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	return tenure.fence, tenure.until, tenure.fence > 0 && time.Now().Before(tenure.until)
}

func (tenure *tenure) Former() lease.Holder { return tenure.former }

func (tenure *tenure) grant(fence uint64, term time.Duration) {
	tenure.mutex.Lock()
	defer tenure.mutex.Unlock()
	tenure.fence, tenure.until = fence, time.Now().Add(term)
}

// received is an order as an engine got it.
type received struct {
	residency.Order
	holder string
	fence  uint64
	at     time.Time
}

// engineSim carries orders out as engines do, with a lagging report.
type engineSim struct {
	mutex sync.Mutex
	log   []received
	// state is what the engine holds, and loadUntil when its order is carried out.
	state     topology.Holding
	loading   string
	loadUntil time.Time
	// lose is the number of answers that get lost, and late that of orders carried out seconds later.
	lose, late int
	memory     int
}

func (sim *engineSim) settle() {
	if sim.loading != "" && !time.Now().Before(sim.loadUntil) {
		sim.state.Models = append(sim.state.Models, topology.Loaded{Model: sim.loading})
		sim.loading = ""
		sim.state.Busy = false
	}
}

func (sim *engineSim) Order(_ context.Context, order residency.Order, holder string, fence uint64) (residency.Verdict, error) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.log = append(sim.log, received{order, holder, fence, time.Now()})
	if sim.late > 0 {
		sim.late--
		time.AfterFunc(5*time.Second, func() {
			sim.mutex.Lock()
			defer sim.mutex.Unlock()
			sim.carryOut(order)
		})
		return 0, context.DeadlineExceeded
	}
	verdict := sim.carryOut(order)
	if sim.lose > 0 {
		sim.lose--
		return 0, context.DeadlineExceeded
	}
	return verdict, nil
}

func (sim *engineSim) carryOut(order residency.Order) residency.Verdict {
	sim.settle()
	if sim.state.Busy || order.After != sim.state.Orders {
		return residency.Conflicting
	}
	sim.state.Orders++
	if order.Operation == residency.Unload {
		sim.state.Models = slices.DeleteFunc(sim.state.Models, func(loaded topology.Loaded) bool { return loaded.Model == order.Model })
		return residency.Accepted
	}
	sim.state.Busy = true
	sim.loading = order.Model
	sim.loadUntil = time.Now().Add(time.Second)
	sim.memory = max(sim.memory, len(sim.state.Models)+1)
	return residency.Accepted
}

func (sim *engineSim) Report(context.Context, topology.Incarnation, string) (topology.Holding, int64, error) {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	sim.settle()
	return clone(sim.state), 1, nil
}

func (sim *engineSim) loads(model string) int {
	sim.mutex.Lock()
	defer sim.mutex.Unlock()
	count := 0
	for _, order := range sim.log {
		if order.Operation == residency.Load && order.Model == model {
			count++
		}
	}
	return count
}

// place is a scheduler before one engine that holds two models at once.
type place struct {
	*Scheduler
	tenure *tenure
	sim    *engineSim
	// loadings is what a former holder announced.
	loadings map[topology.Incarnation]directory.Loading
}

func newPlace(name string, tenure *tenure, sim *engineSim) *place {
	made := &place{tenure: tenure, sim: sim}
	made.Scheduler = New(Settings{Name: name, Turnover: 3 * time.Second}, Deps{
		Tenure: tenure, Engines: sim, Clock: clock.RealClock{},
		Loadings: func() map[topology.Incarnation]directory.Loading { return made.loadings },
	})
	models := map[string]topology.Model{}
	var onDisk []string
	for i := range 6 {
		model := fmt.Sprintf("m%d", i)
		models[model] = topology.Model{Name: model, Weights: 100, StoreLoad: 6 * time.Second, DiskLoad: time.Second, HostLoad: time.Second}
		onDisk = append(onDisk, model)
	}
	sim.state.OnDisk = onDisk
	made.Learn(&topology.Configuration{Version: 1, Services: map[string]topology.Service{
		"s": {Name: "s", Engine: &topology.Engine{Slots: 8, Memory: 200, LoadsPerSecond: 4, Models: models}},
	}}, []topology.Replica{{
		Incarnation: topology.Incarnation{ID: "e", Born: 1}, Service: "s", Zone: "z",
		Holding: topology.Holding{OnDisk: onDisk}, Described: time.Now(),
	}})
	return made
}

func (place *place) want(model string, waiting int) {
	now := time.Now()
	_, _ = place.Sync(context.Background(), mesh.Report{Name: "d", Wants: []demand.Want{{
		Key: demand.Key{Service: "s", Model: model}, Waiting: waiting, Oldest: now, Rate: 0.2, Used: now,
	}}})
}

// run runs the scheduler for a time.
func (place *place) run(t *testing.T, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	_ = place.Run(ctx)
	synctest.Wait()
}

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
			{ID: "e", Born: 1}: {Model: "m3", FromStore: true, Ready: time.Now().Add(time.Minute)},
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
		decided := residency.Order{Engine: topology.Incarnation{ID: "e", Born: 1}, Model: "m1"}
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
