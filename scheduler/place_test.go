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
		sim.state.Models = append(sim.state.Models, topology.LoadedModel{Model: sim.loading})
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
		sim.state.Models = slices.DeleteFunc(sim.state.Models, func(loaded topology.LoadedModel) bool { return loaded.Model == order.Model })
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
		Lease: tenure, Engines: sim, Clock: clock.RealClock{},
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
	made.Update(&topology.Configuration{Version: 1, Services: map[string]topology.Service{
		"s": {Name: "s", Engine: &topology.EngineSpec{Slots: 8, Memory: 200, LoadsPerSecond: 4, Models: models}},
	}}, []topology.Replica{{
		Incarnation: topology.Incarnation{ID: "e", Started: 1}, Service: "s", Zone: "z",
		Holding: topology.Holding{OnDisk: onDisk}, ReceivedAt: time.Now(),
	}})
	return made
}

func (place *place) want(model string, waiting int) {
	now := time.Now()
	_, _ = place.Sync(context.Background(), mesh.Report{Name: "d", Wants: []demand.KeyDemand{{
		Key: demand.Key{Service: "s", Model: model}, Waiting: waiting, Oldest: now, Rate: 0.2, LastArrival: now,
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
