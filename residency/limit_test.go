package residency

import "testing"

// TestModelOfExhaustedEngineGetsAnotherReplica guards against requests that wait for an engine whose limit they exceed
// while other engines have room.
func TestModelOfExhaustedEngineGetsAnotherReplica(t *testing.T) {
	cases := []struct {
		name   string
		limit  float64
		demand Demand
		want   []string
	}{
		{"no limit", 0, Demand{Rate: 0.6, Waiting: 1}, nil},
		{"limit above the demand", 2, Demand{Rate: 0.6, Waiting: 1}, nil},
		{"limit below the demand", 0.5, Demand{Rate: 0.6, Waiting: 1}, []string{"Load m0 e1"}},
		{"limit below the demand, nobody waits", 0.5, Demand{Rate: 0.6}, nil},
		{"limit below the demand of a popular model", 1, Demand{Rate: 1.5}, []string{"Load m0 e1"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			state := fleet(3, 1)
			state.hold(0, "m0")
			state.Engines[1].Holding.OnDisk = []string{"m0"}
			state.Engines[0].Limit = c.limit
			state.Models["m0"] = c.demand
			wantOrders(t, state, c.want...)
		})
	}
}

// TestExhaustedEngineGetsNoLoads checks that a load goes to another engine even if the exhausted one has the weights.
func TestExhaustedEngineGetsNoLoads(t *testing.T) {
	state := fleet(2, 2)
	state.hold(0, "m0")
	state.Engines[0].Limit = 1
	state.Engines[0].Holding.OnDisk = []string{"m0", "m1"}
	state.Engines[1].Holding.OnDisk = []string{"m1"}
	state.Models["m0"] = Demand{Rate: 2, Running: 1}
	state.Models["m1"] = Demand{Rate: 2, Waiting: 3}
	wantOrders(t, state, "Load m1 e1")
}

// TestAdapterLoadsOnExhaustedEngine guards against requests whose adapter is loaded nowhere, because only an exhausted
// engine holds its model and no other has room for it.
func TestAdapterLoadsOnExhaustedEngine(t *testing.T) {
	state := fleet(1, 1)
	state.hold(0, "m0")
	state.Engines[0].Limit = 1
	state.Models["m0"] = Demand{Rate: 2, Waiting: 1}
	state.Adapters["m0/a1"] = Demand{Waiting: 1}
	wantOrders(t, state, "Load m0/a1 e0")
}

// TestStoreLoadOfExhaustedEngineCounts guards against more loads at once from the weight store than it serves at full speed,
// because one of them is on an engine that has used up its limit.
func TestStoreLoadOfExhaustedEngineCounts(t *testing.T) {
	state := fleet(2, 3)
	state.hold(0, "m0")
	state.Engines[0].Limit = 1
	state.Engines[0].Loading, state.Engines[0].LoadingTier, state.Engines[0].Busy = "m1", Store, true
	state.Models["m0"] = Demand{Rate: 2}
	state.Models["m2"] = Demand{Rate: 2, Waiting: 1}
	state.StoreLimit = 1
	wantOrders(t, state)
}
