package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

func roundPlanner() catalogue.Model {
	return catalogue.Model{Name: "planner", Version: "1", Weights: 20 * gigabyte}
}

func TestBurstLoadsOnce(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			world := newWorld(t, kind, 3, 64*gigabyte)
			world.addModel(roundPlanner())
			world.start("entry-1")
			world.advance(4 * time.Second)
			for range 30 {
				world.ask("planner", 72, 50)
				world.advance(step)
			}
			orders := 0
			for _, engine := range world.engines {
				orders += len(engine.Orders(upstream.Load))
			}
			if orders != 1 || world.loaded("planner") != 1 {
				t.Errorf("%d orders, %d replicas, want 1 and 1", orders, world.loaded("planner"))
			}
		})
	}
}
