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
				t.Fatal("the same seed gives a different workload")
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
			nightArrivals := 0
			for _, arrival := range workload.Arrivals {
				if arrival.At.Hour() < 3 {
					nightArrivals++
				}
			}
			if share := float64(nightArrivals) / float64(len(workload.Arrivals)); share > 0.05 {
				t.Fatalf("share of arrivals at night: %v", share)
			}
			highestCount, rarelyUsed := 0, 0
			for _, count := range counts {
				highestCount = max(highestCount, count)
				if count < workload.Days*5 {
					rarelyUsed++
				}
			}
			t.Logf("%d arrivals in %s, highest count of a model %d, models below 5 a day %d",
				len(workload.Arrivals), time.Duration(workload.Days)*day, highestCount, rarelyUsed)
			if highestCount < 10*workload.Days || rarelyUsed < len(workload.Models)/4 {
				t.Fatalf("rates are not skewed: highest count %d, rarely used %d", highestCount, rarelyUsed)
			}
		})
	}
}
