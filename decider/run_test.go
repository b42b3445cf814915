package decider

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// TestRunHandsOver runs two deciders on separate goroutines over a slow table service, stops the
// holder in the middle of a burst and expects one load and no gap beyond the polling interval of
// the lease.
func TestRunHandsOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newClusterAt(t, clock.RealClock{}, kinds[0], 3, 64*gigabyte)
		cluster.addModel(plannerModel())
		cluster.platform.SetDelay(time.Millisecond, 20*time.Millisecond)
		first, second := cluster.start("entry-1"), cluster.start("entry-2")
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
		for tick := range 100 {
			if tick == 5 {
				stopFirst()
			}
			for _, process := range cluster.processes {
				process.pollEngines()
			}
			cluster.reportDemand("planner", 72, 50)
			time.Sleep(step)
		}
		orders := 0
		for _, engine := range cluster.engines {
			orders += len(engine.SentOrders(upstream.Load))
		}
		if orders != 1 || !cluster.ready("planner") {
			t.Errorf("%d orders, ready %t, want one load", orders, cluster.ready("planner"))
		}
		if status := second.decider.Status(); !status.Deciding || status.Fence != 2 {
			t.Errorf("the successor is %+v", status)
		}
		if estimate := second.decider.Estimate("planner"); estimate.Known {
			t.Errorf("an estimate of a model that serves: %+v", estimate)
		}
		cluster.checkState()
		stopSecond()
		<-ended
		<-ended
	})
}

// TestNewHolderQueriesEngines gives a decider a fleet whose states are all from before its term.
func TestNewHolderQueriesEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newClusterAt(t, clock.RealClock{}, kinds[0], 3, 64*gigabyte)
		cluster.addModel(plannerModel())
		process := cluster.start("entry-1")
		process.pollEngines()
		ctx, stop := context.WithCancel(t.Context())
		ended := make(chan error, 1)
		go func() { ended <- process.decider.Run(ctx, time.Second) }()
		for range 20 {
			cluster.reportDemand("planner", 72, 50)
			time.Sleep(step)
		}
		if orders := len(cluster.engines[0].SentOrders(upstream.Load)) + len(cluster.engines[1].SentOrders(upstream.Load)) + len(cluster.engines[2].SentOrders(upstream.Load)); orders != 1 {
			t.Errorf("%d orders within 2 s, want 1", orders)
		}
		stop()
		<-ended
	})
}
