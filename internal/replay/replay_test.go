package replay

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/internal/arrivals"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// singleModelWorkload returns a workload of one model on two accelerators that loads in 30 s from
// the weight store and in 10 s from memory, with requests at the given seconds.
func singleModelWorkload(seconds ...int) arrivals.Workload {
	start := time.Date(2026, time.September, 7, 0, 0, 0, 0, time.UTC)
	workload := arrivals.Workload{Start: start, Days: 1, LoadsAtOnce: 1, Models: []arrivals.Model{{
		Name: "a", Accelerators: 2, Weights: 1, Load: [arrivals.Tiers]time.Duration{30 * time.Second, 20 * time.Second, 10 * time.Second},
	}}}
	for _, second := range seconds {
		at := start.Add(time.Duration(second) * time.Second)
		workload.Arrivals = append(workload.Arrivals, arrivals.Arrival{At: at, Service: 5 * time.Second})
	}
	return workload
}

func TestRunCountsWaitsAndIdleTime(t *testing.T) {
	arrivals := []int{0, 10, 100, 1000}
	for _, test := range []struct {
		name   string
		policy keepwarm.Policy
		waits  []int
		idle   int
		loads  int
	}{
		// Loads of 30, 10 and 10 s.
		{"never", keepwarm.Never{}, []int{30, 20, 10, 10}, 2 * 50, 3},
		// A load of 30 s, 35 to 100 idle, 105 to 220 idle, a load of 10 s, 1015 to 1120 idle.
		{"fixed", keepwarm.NewFixed(2 * time.Minute), []int{30, 20, 0, 10}, 2 * (30 + 65 + 115 + 10 + 105), 2},
		// Loaded at the start and busy for 15 s.
		{"always", keepwarm.Always{}, []int{30, 20, 0, 0}, 2 * (24*3600 - 15), 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			workload := singleModelWorkload(arrivals...)
			result := Run(workload, test.policy, workload.Start)
			for index, wait := range test.waits {
				if got := result.Waits[index]; got != time.Duration(wait)*time.Second {
					t.Errorf("wait of request %d: %s, want %d s", index, got, wait)
				}
			}
			if result.Idle != time.Duration(test.idle)*time.Second || result.Loads != test.loads {
				t.Errorf("idle %s, %d loads, want %d s, %d loads", result.Idle, result.Loads, test.idle, test.loads)
			}
		})
	}
}

// TestPredictiveBeatsFixedTimeout requires the predictive policy to have at most half the mean cold start
// of a fixed timeout of 2 h while its idle time is no longer.
func TestPredictiveBeatsFixedTimeout(t *testing.T) {
	workload := arrivals.Yamabuki(1, 9)
	from := workload.Start.Add(7 * 24 * time.Hour)
	statistics := keepwarm.NewStatistics(time.UTC)
	predictive := Run(workload, keepwarm.NewPredictive(statistics, keepwarm.Costs{ColdStart: 1, IdleHour: 8}), from)
	fixed := Run(workload, keepwarm.NewFixed(2*time.Hour), from)
	t.Logf("predictive: mean %s, idle %s; fixed: mean %s, idle %s", predictive.Mean(), predictive.Idle, fixed.Mean(), fixed.Idle)
	if predictive.Idle > fixed.Idle || predictive.Mean() > fixed.Mean()/2 {
		t.Error("the predictive policy does not beat the fixed timeout")
	}
}
