package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// TestHolderReleasesAfterAnOutage lets a holder replace one model by another during an outage,
// and stops it as planned as soon as the table service is available again.
func TestHolderReleasesAfterAnOutage(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			cluster := newCluster(t, kind, 1, 40*gigabyte)
			cluster.budgetShare = 0.5
			cluster.addModel(catalogue.Model{Name: "first", Version: "1", Weights: 25 * gigabyte})
			cluster.addModel(catalogue.Model{Name: "second", Version: "1", Weights: 25 * gigabyte})
			holder := cluster.start("entry-1")
			if !cluster.requestUntilReady("first", 100) {
				t.Fatal("not loaded")
			}
			cluster.advance(10 * time.Second)
			cluster.platform.SetDown(true)
			cluster.advance(10 * time.Second)
			cluster.reportDemand("first", 0, 0)
			second := cluster.requestUntilReady("second", 600)
			if kind.fencesReliably() && !second {
				t.Fatal("the holder did not put the second model in the place of the first")
			}
			cluster.platform.SetDown(false)
			holder.decider.stop(t.Context(), time.Second)
			cluster.kill(holder)
			cluster.start("entry-2")
			cluster.advance(10 * time.Second)
		})
	}
}
