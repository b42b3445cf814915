package residency

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// TestForecastsFollowTheLoadsAhead guards against forecasts that count a load in progress as a whole one, or leave out the turns
// at the weight store and at engines with copies.
func TestForecastsFollowTheLoadsAhead(t *testing.T) {
	state := fleet(3, 7)
	state.StoreLimit = 1
	state.Engines[0].Loading, state.Engines[0].LoadingTier = "m0", Store
	state.Engines[0].ReadyAt = start.Add(4 * time.Second)
	state.Engines[1].Holding.OnDisk = []string{"m3", "m4"}
	for i, name := range []string{"m0", "m1", "m2", "m3", "m4"} {
		state.Models[name] = Demand{Waiting: 9 - i, Oldest: start}
	}
	state.Models["m5"] = Demand{Refused: 1}
	want := map[string]time.Duration{
		"m0": 4 * time.Second, "m1": 10 * time.Second, "m2": 16 * time.Second,
		"m3": 1200 * time.Millisecond, "m4": 2400 * time.Millisecond, "m5": 22 * time.Second,
	}
	forecasts := New(Settings{}).Forecasts(state)
	for _, forecast := range forecasts {
		if got := forecast.Ready.Sub(start); got != want[forecast.Model] {
			t.Errorf("%s is expected after %v, want %v", forecast.Model, got, want[forecast.Model])
		}
	}
	if len(forecasts) != len(want) {
		t.Errorf("%d forecasts, want %d", len(forecasts), len(want))
	}
}

// TestForecastsKeepTheRateOfTheWeightStore covers loads that wait for the rate limit and not for one another.
func TestForecastsKeepTheRateOfTheWeightStore(t *testing.T) {
	state := fleet(3, 1)
	state.Models["m0"] = Demand{Waiting: 1, Oldest: start}
	for range 13 {
		state.StoreLoadStarts = append(state.StoreLoadStarts, start.Add(-time.Second))
	}
	got := New(Settings{}).Forecasts(state)[0].Ready.Sub(start)
	if want := 4*time.Second + state.Spec.Models["m0"].StoreLoad; got != want {
		t.Errorf("the model is expected after %v, want %v", got, want)
	}
	state.Engines[0].Holding.Models = []topology.LoadedModel{{Model: "m0"}}
	if forecasts := New(Settings{}).Forecasts(state); len(forecasts) != 0 {
		t.Errorf("forecasts %v for a loaded model", forecasts)
	}
}
