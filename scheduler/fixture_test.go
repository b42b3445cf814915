package scheduler

import (
	"context"
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

// fakeLease is a lease whose term is set by the test.
type fakeLease struct {
	mutex  sync.Mutex
	fence  uint64
	until  time.Time
	former lease.Holder
	// formerEnded is the end of the right of the former holder; zero if unknown.
	formerEnded time.Time
}

func (granted *fakeLease) Held() (uint64, time.Time, bool) {
	granted.mutex.Lock()
	defer granted.mutex.Unlock()
	return granted.fence, granted.until, granted.fence > 0 && time.Now().Before(granted.until)
}

func (granted *fakeLease) Former() lease.Holder { return granted.former }

func (granted *fakeLease) FormerEnded() time.Time { return granted.formerEnded }

func (granted *fakeLease) grant(fence uint64, term time.Duration) {
	granted.mutex.Lock()
	defer granted.mutex.Unlock()
	granted.fence, granted.until = fence, time.Now().Add(term)
}

// received is an order as received by an engine.
type received struct {
	residency.Order
	holder string
	fence  uint64
	at     time.Time
}

// fakeEngine executes orders, and can lose responses or delay execution.
type fakeEngine struct {
	mutex sync.Mutex
	log   []received
	// state is the content of the engine, and loadUntil the end of the load in progress.
	state     topology.Holding
	loading   string
	loadUntil time.Time
	// lostResponses is the number of responses to drop, and delayedOrders that of orders to execute 5 s late.
	lostResponses, delayedOrders int
	maxModels                    int
	// unloadTime is how long the engine is busy with an unload, until unloadUntil. conflicts counts its refusals.
	unloadTime  time.Duration
	unloadUntil time.Time
	conflicts   int
}

func (engine *fakeEngine) completeLoad() {
	if engine.loading != "" && !time.Now().Before(engine.loadUntil) {
		engine.state.Models = append(engine.state.Models, topology.LoadedModel{Model: engine.loading})
		engine.loading = ""
		engine.state.Busy = false
	}
	if engine.loading == "" {
		engine.state.Busy = time.Now().Before(engine.unloadUntil)
	}
}

func (engine *fakeEngine) Order(_ context.Context, order residency.Order, holder string, fence uint64) (residency.Verdict, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.log = append(engine.log, received{order, holder, fence, time.Now()})
	if engine.delayedOrders > 0 {
		engine.delayedOrders--
		time.AfterFunc(5*time.Second, func() {
			engine.mutex.Lock()
			defer engine.mutex.Unlock()
			engine.execute(order)
		})
		return 0, context.DeadlineExceeded
	}
	verdict := engine.execute(order)
	if engine.lostResponses > 0 {
		engine.lostResponses--
		return 0, context.DeadlineExceeded
	}
	return verdict, nil
}

func (engine *fakeEngine) execute(order residency.Order) residency.Verdict {
	engine.completeLoad()
	if engine.state.Busy || order.After != engine.state.Orders {
		engine.conflicts++
		return residency.Conflicting
	}
	engine.state.Orders++
	if order.Operation == residency.Unload {
		engine.unloadUntil = time.Now().Add(engine.unloadTime)
		engine.state.Models = slices.DeleteFunc(engine.state.Models, func(loaded topology.LoadedModel) bool { return loaded.Model == order.Model })
		return residency.Accepted
	}
	engine.state.Busy = true
	engine.loading = order.Model
	engine.loadUntil = time.Now().Add(time.Second)
	engine.maxModels = max(engine.maxModels, len(engine.state.Models)+1)
	return residency.Accepted
}

func (engine *fakeEngine) Report(context.Context, topology.Incarnation, string) (topology.Holding, int64, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.completeLoad()
	return cloneHolding(engine.state), 1, nil
}

func (engine *fakeEngine) loads(model string) int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	count := 0
	for _, order := range engine.log {
		if order.Operation == residency.Load && order.Model == model {
			count++
		}
	}
	return count
}

// fixture is a scheduler with one engine that has memory for two models.
type fixture struct {
	*Scheduler
	lease  *fakeLease
	engine *fakeEngine
	// loadings is what the former holder announced.
	loadings map[topology.Incarnation]directory.Loading
}

func newFixture(name string, granted *fakeLease, engine *fakeEngine) *fixture {
	made := &fixture{lease: granted, engine: engine}
	made.Scheduler = New(Settings{Name: name, Turnover: 3 * time.Second}, Deps{
		Lease: granted, Engines: engine, Clock: clock.RealClock{},
		Loadings: func() map[topology.Incarnation]directory.Loading { return made.loadings },
	})
	models := map[string]topology.Model{}
	var onDisk []string
	for i := range 6 {
		model := fmt.Sprintf("m%d", i)
		models[model] = topology.Model{Name: model, Weights: 100, StoreLoad: 6 * time.Second, DiskLoad: time.Second, HostLoad: time.Second}
		onDisk = append(onDisk, model)
	}
	engine.state.OnDisk = onDisk
	made.Update(&topology.Configuration{Version: 1, Services: map[string]topology.Service{
		"s": {Name: "s", Engine: &topology.EngineSpec{Slots: 8, Memory: 200, LoadsPerSecond: 4, Models: models}},
	}}, []topology.Replica{{
		Incarnation: topology.Incarnation{ID: "e", Started: 1}, Service: "s", Zone: "z",
		Holding: topology.Holding{OnDisk: onDisk}, ReceivedAt: time.Now(),
	}})
	return made
}

func (fixture *fixture) request(model string, waiting int) {
	now := time.Now()
	_, _ = fixture.Sync(context.Background(), mesh.Report{Name: "d", Demand: []demand.KeyDemand{{
		Key: demand.Key{Service: "s", Model: model}, Waiting: waiting, Oldest: now, Rate: 0.2, LastArrival: now,
	}}})
}

// run runs the scheduler for the given time.
func (fixture *fixture) run(t *testing.T, length time.Duration) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	_ = fixture.Run(ctx)
	synctest.Wait()
}
