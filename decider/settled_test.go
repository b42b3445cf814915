package decider

import (
	"context"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// TestUnloadIsNotRepeatedOnAnOldView restarts an engine whose newest view still shows a replica, as
// happens when the engine can take orders and its state comes late.
func TestUnloadIsNotRepeatedOnAnOldView(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, world *world, holder, _ *process) {
		world.addModel(catalogue.Model{Name: "m", Version: "1", Weights: 10})
		world.ask("m", 1, 1)
		world.advance(5 * time.Second)
		if world.loaded("m") != 1 {
			t.Fatal("the model is not loaded")
		}
		world.advance(2 * time.Second)
		world.engines[0].Restart()
		before := holder.decider.serial
		for range 1000 {
			world.fake.Step(20 * time.Millisecond)
			world.platform.SetVMs(world.vms...)
			_ = holder.lease.Step(context.Background())
			_ = holder.decider.Step(context.Background())
			holder.decider.senders.Wait()
			holder.decider.takeAll()
		}
		if sent := holder.decider.serial - before; sent > 3 {
			t.Errorf("%d orders on one view, want one unload", sent)
		}
	})
}
