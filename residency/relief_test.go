package residency

import (
	"testing"
	"time"
)

// TestFullModelGetsSeveralCopiesAtOnce guards against one copy for each step for a model that refuses most of its requests.
func TestFullModelGetsSeveralCopiesAtOnce(t *testing.T) {
	state := fleet(6, 1)
	state.hold(0, "m0")
	for _, engine := range state.Engines[1:5] {
		engine.Holding.OnDisk = []string{"m0"}
	}
	state.Models["m0"] = Demand{Rate: 8, Refused: 6, Running: 10}
	wantOrders(t, state, "Load m0 e1", "Load m0 e2")
	state.Models["m0"] = Demand{Rate: 8, Refused: 7, Running: 10}
	wantOrders(t, state, "Load m0 e1", "Load m0 e2", "Load m0 e3", "Load m0 e4")
	state.Engines[1].Loading, state.Engines[1].Busy = "m0", true
	state.Engines[2].ReservedFor, state.Engines[2].Busy = "m0", true
	wantOrders(t, state, "Load m0 e3", "Load m0 e4")
}

// TestRefusalsBeforeTheFirstLoadOrderNoCopies guards against copies of a rare model for the requests that were refused while no
// engine had it.
func TestRefusalsBeforeTheFirstLoadOrderNoCopies(t *testing.T) {
	state := fleet(6, 1)
	state.hold(0, "m0")
	for _, engine := range state.Engines[1:] {
		engine.Holding.OnDisk = []string{"m0"}
	}
	state.Models["m0"] = Demand{Rate: 0.9, Refused: 0.8, Running: 1}
	state.Engines[0].LoadedAt = map[string]time.Time{"m0": start.Add(-time.Second)}
	wantOrders(t, state)
	state.Engines[0].LoadedAt["m0"] = start.Add(-refusalsForgotten)
	wantOrders(t, state, "Load m0 e1")
}

// TestFullModelUsesTheWeightStore covers a full model whose other copies are on engines that must not unload what they have:
// demand that lasts is worth a slow load, and one that falls is not.
func TestFullModelUsesTheWeightStore(t *testing.T) {
	state := fleet(3, 5)
	state.hold(0, "m0")
	state.hold(1, "m1", "m2")
	state.Engines[1].Holding.OnDisk = append(state.Engines[1].Holding.OnDisk, "m0")
	state.Engines[1].Running = map[string]int{"m1": 1, "m2": 1}
	state.Engines[2].Holding.OnDisk = []string{"m3", "m4"}
	state.Models["m0"] = Demand{Rate: 8, Refused: 3, Running: 10}
	wantOrders(t, state, "Load m0 e2")
	state.Models["m0"] = Demand{Rate: 8, Rise: -4, Refused: 3, Running: 10}
	wantOrders(t, state)
	if short := New(Settings{}).Decide(state).Shortages; len(short) != 1 || short[0] != (Shortage{"m0", 1, NotLasting}) {
		t.Errorf("shortages are %v", short)
	}
}

// TestLastCopyOfRecentModelStays covers a model that is asked for every few seconds beside one whose replicas are full.
func TestLastCopyOfRecentModelStays(t *testing.T) {
	state := fleet(2, 3)
	state.hold(0, "m0")
	state.hold(1, "m1", "m2")
	state.Engines[1].Holding.OnDisk = append(state.Engines[1].Holding.OnDisk, "m0")
	state.Models["m0"] = Demand{Rate: 8, Refused: 4, Running: 10, LastArrival: start}
	state.Models["m1"] = Demand{Rate: 0.3, LastArrival: start.Add(-3 * time.Second)}
	state.Models["m2"] = Demand{Rate: 0.3, LastArrival: start.Add(-recentUse)}
	wantOrders(t, state, "Unload m2 e1")
	state.Models["m2"] = state.Models["m1"]
	wantOrders(t, state)
}

// TestLastCopyWithinSecondsOfARequest covers a model that no engine has and that fits only where the others were just used: the
// requests for it wait for a moment before one of these is unloaded.
func TestLastCopyWithinSecondsOfARequest(t *testing.T) {
	state := fleet(1, 3)
	state.hold(0, "m1", "m2")
	state.Engines[0].Holding.OnDisk = append(state.Engines[0].Holding.OnDisk, "m0")
	state.Models["m0"] = Demand{Waiting: 1, Oldest: start}
	state.Models["m1"] = Demand{Rate: 0.3, LastArrival: start.Add(-time.Second)}
	state.Models["m2"] = Demand{Rate: 0.4, LastArrival: start.Add(-time.Second)}
	wantOrders(t, state)
	state.Models["m0"] = Demand{Waiting: 1, Oldest: start.Add(-longPatience)}
	wantOrders(t, state, "Unload m1 e0")
}

// TestBothCopiesAreNotUnloadedAtOnce guards against a model without a copy after two unloads that each left the other one.
func TestBothCopiesAreNotUnloadedAtOnce(t *testing.T) {
	state := fleet(2, 5)
	state.hold(0, "m0", "m1")
	state.hold(1, "m0", "m2")
	for i, name := range []string{"m3", "m4"} {
		state.Engines[i].Holding.OnDisk = append(state.Engines[i].Holding.OnDisk, name)
		state.Models[name] = Demand{Waiting: 1, Oldest: start}
	}
	state.Engines[0].Running = map[string]int{"m1": 1}
	state.Engines[1].Running = map[string]int{"m2": 1}
	state.Models["m0"] = Demand{Rate: 0.2, LastArrival: start}
	wantOrders(t, state, "Unload m0 e0")
	state.Engines[0].Busy, state.Engines[0].Unloading, state.Engines[0].ReservedFor = true, "m0", "m3"
	wantOrders(t, state)
}

// TestSpeedDecidesBetweenCopies covers a busy model, which goes to the fastest engine, and an idle one, which leaves it free.
func TestSpeedDecidesBetweenCopies(t *testing.T) {
	for _, c := range []struct {
		demand Demand
		want   string
	}{{Demand{Waiting: 9, Oldest: start, Rate: 5}, "Load m0 e2"}, {Demand{Waiting: 1, Oldest: start}, "Load m0 e0"}} {
		state := fleet(3, 1)
		for i, engine := range state.Engines {
			engine.Speed = []float64{0.6, 1, 1.6}[i]
			engine.Holding.OnDisk = []string{"m0"}
		}
		state.Models["m0"] = c.demand
		if got := planned(state); len(got) == 0 || !(got[0] == c.want || len(got) > 1 && got[1] == c.want) {
			t.Errorf("planned %q, want %s", got, c.want)
		}
	}
}
