package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// TestHolderReleasesAfterAnOutage lets a holder put one model in the place of another while the
// tables are away, and stop as planned when they are just back.
func TestHolderReleasesAfterAnOutage(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			world := newWorld(t, kind, 1, 40*gigabyte)
			world.budgetShare = 0.5
			world.addModel(catalogue.Model{Name: "first", Version: "1", Weights: 25 * gigabyte})
			world.addModel(catalogue.Model{Name: "second", Version: "1", Weights: 25 * gigabyte})
			holder := world.start("entry-1")
			if !world.askFor("first", 100) {
				t.Fatal("not loaded")
			}
			world.advance(10 * time.Second)
			world.platform.SetDown(true)
			world.advance(10 * time.Second)
			world.ask("first", 0, 0)
			second := world.askFor("second", 600)
			if kind.closes() && !second {
				t.Fatal("the holder did not put the second model in the place of the first")
			}
			world.platform.SetDown(false)
			holder.decider.stop(t.Context(), time.Second)
			world.kill(holder)
			world.start("entry-2")
			world.advance(10 * time.Second)
		})
	}
}
