package residency

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// start is the time of the first plan of each test.
var start = time.Unix(1000, 0)

// fleet returns a state with engines e0, e1, ... of 200 GB in three data centres and models of 70 GB named m0, m1,
// ...
func fleet(engines, models int) *State {
	state := &State{
		Spec: topology.EngineSpec{
			Slots:          64,
			Memory:         200e9,
			MaxAdapters:    2,
			LoadsPerSecond: 2.6,
			Models:         map[string]topology.Model{},
		},
		Models:   map[string]Demand{},
		Adapters: map[string]Demand{},
		Now:      start,
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		state.Spec.Models[name] = topology.Model{
			Name: name, Weights: 70e9, AdapterBytes: 1e8, Adapters: 8,
			StoreLoad: 6 * time.Second, DiskLoad: 1200 * time.Millisecond, HostLoad: 600 * time.Millisecond,
		}
	}
	for i := range engines {
		state.Engines = append(state.Engines, &Engine{
			Incarnation: topology.Incarnation{ID: fmt.Sprintf("e%d", i)},
			Zone:        fmt.Sprintf("z%d", i%3),
		})
	}
	return state
}

// hold marks models as loaded on an engine, with copies on its disk.
func (state *State) hold(engine int, models ...string) {
	holding := &state.Engines[engine].Holding
	for _, model := range models {
		holding.Models = append(holding.Models, topology.LoadedModel{Model: model})
		holding.OnDisk = append(holding.OnDisk, model)
	}
}

// planned returns the planned orders as sorted text.
func planned(state *State) []string {
	var text []string
	for _, order := range New(Settings{}).Plan(state) {
		name := order.Model
		if order.Adapter != "" {
			name += "/" + order.Adapter
		}
		text = append(text, fmt.Sprintf("%s %s %s", order.Operation, name, order.Engine.ID))
	}
	slices.Sort(text)
	return text
}

func wantOrders(t *testing.T, state *State, expected ...string) {
	t.Helper()
	slices.Sort(expected)
	if got := planned(state); !slices.Equal(got, expected) {
		t.Errorf("planned %q, want %q", got, expected)
	}
}

// Rare models: each is seldom requested, and most are on some disk but not loaded.

func TestRareModelLoadsWhereItIsOnDisk(t *testing.T) {
	state := fleet(3, 1)
	state.Engines[1].Holding.OnDisk = []string{"m0"}
	state.Models["m0"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Load m0 e1")
}

func TestRareModelPrefersACopyInMemory(t *testing.T) {
	state := fleet(3, 1)
	state.Engines[1].Holding.OnDisk = []string{"m0"}
	state.Engines[2].Holding.InHost = []string{"m0"}
	state.Models["m0"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Load m0 e2")
}

func TestRareModelWaitsForTheEngineWithACopy(t *testing.T) {
	state := fleet(3, 1)
	state.Engines[1].Holding.OnDisk = []string{"m0"}
	state.Engines[1].Busy = true
	state.Engines[1].ReadyAt = start.Add(time.Second)
	state.Models["m0"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state)
}

func TestManyRequestsForOneRareModelLoadItOnce(t *testing.T) {
	state := fleet(3, 1)
	for _, engine := range state.Engines {
		engine.Holding.OnDisk = []string{"m0"}
	}
	state.Models["m0"] = Demand{Waiting: 9, Oldest: start}
	wantOrders(t, state, "Load m0 e0")
}

func TestFullEngineUnloadsModelWithLeastDemand(t *testing.T) {
	state := fleet(1, 3)
	state.hold(0, "m0", "m1")
	state.Engines[0].Holding.OnDisk = append(state.Engines[0].Holding.OnDisk, "m2")
	state.Models["m0"] = Demand{Rate: 0.5}
	state.Models["m1"] = Demand{Rate: 0.01}
	state.Models["m2"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Unload m1 e0")
}

func TestModelWithRequestsInFlightIsNotUnloaded(t *testing.T) {
	state := fleet(1, 3)
	state.hold(0, "m0", "m1")
	state.Engines[0].Holding.OnDisk = append(state.Engines[0].Holding.OnDisk, "m2")
	state.Engines[0].Running = map[string]int{"m0": 1, "m1": 1}
	state.Models["m2"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state)
}

func TestFreedMemoryIsReservedForItsModel(t *testing.T) {
	state := fleet(2, 3)
	for _, engine := range state.Engines {
		engine.Holding.OnDisk = []string{"m0", "m1"}
	}
	state.Engines[0].ReservedFor = "m1"
	state.Models["m0"] = Demand{Waiting: 2, Oldest: start}
	state.Models["m1"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Load m0 e1", "Load m1 e0")
}

// Models without any copy: their first load is slow, so it is planned ahead of demand and few run at once.

func TestAtMostFourModelsWithoutACopyAreLoadedAtOnce(t *testing.T) {
	state := fleet(9, 8)
	state.Spec.LoadsPerSecond = 10
	got := planned(state)
	if len(got) != 4 {
		t.Errorf("planned %q, want four loads", got)
	}
}

func TestWeightStoreLoadsRespectRateLimit(t *testing.T) {
	state := fleet(9, 8)
	for range 12 {
		state.StoreLoadStarts = append(state.StoreLoadStarts, start.Add(-time.Second))
	}
	if got := planned(state); len(got) != 1 {
		t.Errorf("planned %q after 12 starts in 5 s at 2.6 a second, want one", got)
	}
}

// Popular models: demand moves between models within seconds.

func TestPopularModelIsKeptInEachDataCentre(t *testing.T) {
	state := fleet(3, 1)
	state.hold(0, "m0")
	state.Engines[1].Holding.OnDisk = []string{"m0"}
	state.Engines[2].Holding.OnDisk = []string{"m0"}
	state.Models["m0"] = Demand{Rate: 5, Running: 4}
	wantOrders(t, state, "Load m0 e1")
}

func TestModelWithSurplusReplicaIsUnloaded(t *testing.T) {
	state := fleet(2, 4)
	state.hold(0, "m0", "m1")
	state.hold(1, "m0", "m2")
	state.Engines[0].Holding.OnDisk = append(state.Engines[0].Holding.OnDisk, "m3")
	state.Models["m0"] = Demand{Rate: 0.2}
	state.Models["m1"] = Demand{Rate: 0.2}
	state.Models["m3"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Unload m0 e0")
}

// Adapters: there are thousands, and a few fit beside their model.

func TestAdapterLoadsBesideItsModel(t *testing.T) {
	state := fleet(3, 1)
	state.hold(1, "m0")
	state.Adapters["m0/a1"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Load m0/a1 e1")
}

func TestLeastRecentlyUsedAdapterIsUnloaded(t *testing.T) {
	state := fleet(1, 1)
	state.hold(0, "m0")
	state.Engines[0].Holding.Models[0].Adapters = []string{"a1", "a2"}
	state.Adapters["m0/a1"] = Demand{LastArrival: start.Add(-time.Second)}
	state.Adapters["m0/a2"] = Demand{LastArrival: start.Add(-time.Minute)}
	state.Adapters["m0/a3"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state, "Unload m0/a2 e0")
}

func TestAdapterInUseIsNotUnloaded(t *testing.T) {
	state := fleet(1, 1)
	state.hold(0, "m0")
	state.Engines[0].Holding.Models[0].Adapters = []string{"a1", "a2"}
	state.Engines[0].AdaptersRunning = map[string]int{"m0/a1": 1, "m0/a2": 1}
	state.Adapters["m0/a3"] = Demand{Waiting: 1, Oldest: start}
	wantOrders(t, state)
}

// TestPlansNeverOvercommit applies 300 plans for changing demand and checks the memory and adapter limits of each
// engine after each.
func TestPlansNeverOvercommit(t *testing.T) {
	state := fleet(5, 12)
	for step := range 300 {
		state.Now = state.Now.Add(100 * time.Millisecond)
		for i := range 12 {
			name := fmt.Sprintf("m%d", i)
			state.Models[name] = Demand{Waiting: (step*7 + i*3) % 5 / 4, Oldest: state.Now, Rate: float64((step/50 + i) % 12), Refused: float64((step + i) % 5), Running: i}
			state.Adapters[name+"/a1"] = Demand{Waiting: (step + i) % 2, Oldest: state.Now}
		}
		for _, order := range New(Settings{}).Plan(state) {
			state.apply(order)
		}
		for _, engine := range state.Engines {
			if used := engine.used(state.Spec.Models); used > state.Spec.Memory {
				t.Fatalf("step %d: %s uses %d of %d bytes", step, engine.ID, used, state.Spec.Memory)
			}
			if count := engine.Holding.AdapterCount(); count > state.Spec.MaxAdapters {
				t.Fatalf("step %d: %s holds %d adapters", step, engine.ID, count)
			}
		}
	}
}

// apply executes an order at once.
func (state *State) apply(order Order) {
	for _, engine := range state.Engines {
		if engine.ID != order.Engine.ID {
			continue
		}
		models := &engine.Holding.Models
		at := slices.IndexFunc(*models, func(loaded topology.LoadedModel) bool { return loaded.Model == order.Model })
		switch {
		case order.Adapter != "" && order.Operation == Load:
			(*models)[at].Adapters = append((*models)[at].Adapters, order.Adapter)
		case order.Adapter != "":
			adapters := (*models)[at].Adapters
			(*models)[at].Adapters = slices.DeleteFunc(adapters, func(name string) bool { return name == order.Adapter })
		case order.Operation == Load:
			*models = append(*models, topology.LoadedModel{Model: order.Model})
			engine.Holding.OnDisk = append(engine.Holding.OnDisk, order.Model)
		default:
			*models = slices.Delete(*models, at, at+1)
		}
	}
}

// BenchmarkPlanFull measures a plan for 60 models that refuse requests and whose copies are on engines in use.
func BenchmarkPlanFull(b *testing.B) {
	state := fleet(600, 1900)
	for i := range 1900 {
		state.hold(i%600, fmt.Sprintf("m%d", i))
		state.Models[fmt.Sprintf("m%d", i)] = Demand{Rate: 2, LastArrival: start}
	}
	for i := range 60 {
		state.Models[fmt.Sprintf("m%d", i)] = Demand{Rate: 40, Refused: 20, Running: 64, LastArrival: start}
		for copies := range 40 {
			state.Engines[(i*7+copies*13+1)%600].Holding.OnDisk = append(state.Engines[(i*7+copies*13+1)%600].Holding.OnDisk, fmt.Sprintf("m%d", i))
		}
	}
	for b.Loop() {
		New(Settings{}).Plan(state)
	}
}

func BenchmarkPlan(b *testing.B) {
	state := fleet(600, 1900)
	for i := range 1900 {
		state.hold(i%600, fmt.Sprintf("m%d", i))
	}
	for i := range 100 {
		state.Models[fmt.Sprintf("m%d", i)] = Demand{Waiting: 1, Oldest: start, Rate: 1}
	}
	for b.Loop() {
		New(Settings{}).Plan(state)
	}
}

// TestOverloadedModelUsesTheWeightStore covers a model whose demand rose far above the capacity of its replicas,
// while the other engine with a copy of it is full of popular models.
func TestOverloadedModelUsesTheWeightStore(t *testing.T) {
	state := fleet(3, 5)
	state.hold(0, "m0")
	state.hold(1, "m1", "m2")
	state.Engines[1].Holding.OnDisk = append(state.Engines[1].Holding.OnDisk, "m0")
	state.hold(2, "m3")
	for _, popular := range []string{"m1", "m2"} {
		state.Models[popular] = Demand{Rate: 5, Running: 2}
	}
	state.Models["m4"] = Demand{}
	state.Engines[1].Running = map[string]int{"m1": 1, "m2": 1}
	state.Models["m0"] = Demand{Rate: 40, Running: 120, Tokens: 50_000}
	for _, name := range []string{"m3", "m4"} {
		state.Engines[0].Holding.OnDisk = append(state.Engines[0].Holding.OnDisk, name)
	}
	found := false
	for _, order := range planned(state) {
		found = found || order == "Load m0 e2"
	}
	if !found {
		t.Errorf("planned %q, want a load of m0 on e2", planned(state))
	}
}
