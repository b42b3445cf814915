package decider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// TestRunHandsOver runs two deciders on their own goroutines over a slow table service, stops the
// holder in the middle of a burst and expects one load and no gap beyond the time of a watch.
func TestRunHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorldAt(t, clock.RealClock{}, kinds[0], 3, 64*gigabyte)
		world.addModel(roundPlanner())
		world.platform.SetDelay(time.Millisecond, 20*time.Millisecond)
		first, second := world.start("entry-1"), world.start("entry-2")
		ended := make(chan struct{}, 2)
		run := func(process *process) context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			go func() {
				_ = process.decider.Run(ctx, time.Second)
				ended <- struct{}{}
			}()
			return cancel
		}
		stopFirst := run(first)
		time.Sleep(time.Second)
		stopSecond := run(second)
		for moment := range 100 {
			if moment == 5 {
				stopFirst()
			}
			for _, process := range world.processes {
				process.look()
			}
			world.ask("planner", 72, 50)
			time.Sleep(step)
		}
		orders := 0
		for _, engine := range world.engines {
			orders += len(engine.Orders(upstream.Load))
		}
		if orders != 1 || !world.ready("planner") {
			t.Errorf("%d orders, ready %t, want one load", orders, world.ready("planner"))
		}
		if status := second.decider.Status(); !status.Deciding || status.Fence != 2 {
			t.Errorf("the successor is %+v", status)
		}
		if estimate := second.decider.Estimate("planner"); estimate.Known {
			t.Errorf("an estimate of a model that serves: %+v", estimate)
		}
		world.judge()
		stopSecond()
		<-ended
		<-ended
	})
}

// TestNewHolderAsksEngines gives a decider a fleet whose states are all from before its lease.
func TestNewHolderAsksEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorldAt(t, clock.RealClock{}, kinds[0], 3, 64*gigabyte)
		world.addModel(roundPlanner())
		process := world.start("entry-1")
		process.look()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- process.decider.Run(ctx, time.Second) }()
		for range 20 {
			world.ask("planner", 72, 50)
			time.Sleep(step)
		}
		if orders := len(world.engines[0].Orders(upstream.Load)) + len(world.engines[1].Orders(upstream.Load)) + len(world.engines[2].Orders(upstream.Load)); orders != 1 {
			t.Errorf("%d orders within 2 s, want 1", orders)
		}
		stop()
		<-ended
	})
}
