package arrivals

import (
	"reflect"
	"testing"
	"time"
)

func TestWorkloads(t *testing.T) {
	for _, test := range []struct {
		make   func(uint64, int) Workload
		models int
	}{{Yamabuki, 50}, {Calabaza, 100}} {
		workload := test.make(1, 14)
		t.Run(workload.Name, func(t *testing.T) {
			if len(workload.Models) != test.models {
				t.Fatalf("models: %d", len(workload.Models))
			}
			if !reflect.DeepEqual(workload, test.make(1, 14)) {
				t.Fatal("the same seed gives another workload")
			}
			counts := make([]int, len(workload.Models))
			last := workload.Start
			for _, arrival := range workload.Arrivals {
				if arrival.At.Before(last) || !arrival.At.Before(workload.End()) {
					t.Fatalf("arrival at %s after %s", arrival.At, last)
				}
				last = arrival.At
				counts[arrival.Model]++
			}
			night := 0
			for _, arrival := range workload.Arrivals {
				if arrival.At.Hour() < 3 {
					night++
				}
			}
			if share := float64(night) / float64(len(workload.Arrivals)); share > 0.05 {
				t.Fatalf("share of arrivals at night: %v", share)
			}
			busiest, idle := 0, 0
			for _, count := range counts {
				busiest = max(busiest, count)
				if count < workload.Days*5 {
					idle++
				}
			}
			t.Logf("%d arrivals in %s, busiest model %d, models below 5 a day %d",
				len(workload.Arrivals), time.Duration(workload.Days)*day, busiest, idle)
			if busiest < 10*workload.Days || idle < len(workload.Models)/4 {
				t.Fatalf("rates are not spread: busiest %d, idle %d", busiest, idle)
			}
		})
	}
}
