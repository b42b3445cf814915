package decider

import (
	"context"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// TestUnloadIsNotRepeatedOnAnOldView restarts an engine whose newest view still shows a replica.
// This happens when the engine accepts orders while its state arrives late.
func TestUnloadIsNotRepeatedOnAnOldView(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, cluster *cluster, holder, _ *process) {
		cluster.addModel(catalogue.Model{Name: "m", Version: "1", Weights: 10})
		cluster.reportDemand("m", 1, 1)
		cluster.advance(5 * time.Second)
		if cluster.loaded("m") != 1 {
			t.Fatal("the model is not loaded")
		}
		cluster.advance(2 * time.Second)
		cluster.engines[0].Restart()
		before := holder.decider.serial
		for range 1000 {
			cluster.fake.Step(20 * time.Millisecond)
			cluster.platform.SetVMs(cluster.vms...)
			_ = holder.lease.Step(context.Background())
			_ = holder.decider.Step(context.Background())
			holder.decider.attempts.Wait()
			holder.decider.handleResults()
		}
		if sent := holder.decider.serial - before; sent > 3 {
			t.Errorf("%d orders on one view, want one unload", sent)
		}
	})
}
