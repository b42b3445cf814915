package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/upstream"
)

func plannerModel() catalogue.Model {
	return catalogue.Model{Name: "planner", Version: "1", Weights: 20 * gigabyte}
}

func TestBurstLoadsOnce(t *testing.T) {
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			cluster := newCluster(t, kind, 3, 64*gigabyte)
			cluster.addModel(plannerModel())
			cluster.start("entry-1")
			cluster.advance(4 * time.Second)
			for range 30 {
				cluster.reportDemand("planner", 72, 50)
				cluster.advance(step)
			}
			orders := 0
			for _, engine := range cluster.engines {
				orders += len(engine.SentOrders(upstream.Load))
			}
			if orders != 1 || cluster.loaded("planner") != 1 {
				t.Errorf("%d orders, %d replicas, want 1 and 1", orders, cluster.loaded("planner"))
			}
		})
	}
}
