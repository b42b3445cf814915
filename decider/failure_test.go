package decider

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/enginefake"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/upstream"
)

// eachKind runs a test on each kind of engines with a holder and a successor.
func eachKind(t *testing.T, engines int, run func(t *testing.T, cluster *cluster, holder, successor *process)) {
	t.Helper()
	for _, kind := range kinds {
		t.Run(kind.name, func(t *testing.T) {
			cluster := newCluster(t, kind, engines, 64*gigabyte)
			cluster.addModel(plannerModel())
			holder, successor := cluster.start("entry-1"), cluster.start("entry-2")
			cluster.advance(4 * time.Second)
			run(t, cluster, holder, successor)
		})
	}
}

// TestPausedHolderAndDemand pauses the holder with an order in flight while requests continue to
// wait.
func TestPausedHolderAndDemand(t *testing.T) {
	eachKind(t, 3, func(t *testing.T, cluster *cluster, holder, _ *process) {
		cluster.failOrders(enginefake.Late)
		cluster.reportDemand("planner", 2, 5)
		cluster.advance(step)
		holder.paused = true
		if !cluster.requestUntilReady("planner", 200) {
			t.Fatal("the successor served nothing")
		}
		if cluster.deliverLate() != 1 {
			t.Fatal("no order was late")
		}
		cluster.advance(time.Second)
		holder.paused = false
		cluster.requestUntilReady("planner", 1)
		cluster.advance(5 * time.Second)
	})
}

// TestPausedHolderAndMemory pauses the holder with an order in flight while other models fill
// the memory.
func TestPausedHolderAndMemory(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, cluster *cluster, holder, _ *process) {
		for i := range 4 {
			cluster.addModel(catalogue.Model{Name: fmt.Sprintf("other-%d", i), Version: "1", Weights: 16 * gigabyte})
		}
		cluster.failOrders(enginefake.Late)
		cluster.reportDemand("planner", 2, 5)
		cluster.advance(step)
		holder.paused = true
		cluster.advance(14 * time.Second)
		for i := range 200 {
			cluster.reportDemand(fmt.Sprintf("other-%d", i%4), 2+i%4, 5)
			cluster.advance(step)
		}
		if cluster.deliverLate() != 1 {
			t.Fatal("no order was late")
		}
		cluster.advance(5 * time.Second)
		holder.paused = false
		cluster.advance(5 * time.Second)
	})
}

// TestGoneHolderFreesItsCharge removes the VM of a holder whose order never arrives. Where
// engines reliably reject orders with older fencing numbers, the successor may use the memory
// before that.
func TestGoneHolderFreesItsCharge(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, cluster *cluster, holder, successor *process) {
		cluster.addModel(catalogue.Model{Name: "large", Version: "1", Weights: 60 * gigabyte})
		cluster.failOrders(enginefake.RequestLost)
		cluster.reportDemand("planner", 2, 5)
		cluster.advance(step)
		cluster.kill(holder)
		cluster.advance(14 * time.Second)
		if _, owned := successor.lease.Owned(); !owned {
			t.Fatal("no takeover")
		}
		if fenced := cluster.kind.fencesReliably(); cluster.requestUntilReady("large", 100) != fenced {
			t.Fatalf("loaded before the holder was gone: %t", !fenced)
		}
		cluster.removeVM("entry-1")
		if !cluster.requestUntilReady("large", 700) {
			t.Fatal("the charge of the gone holder was never freed")
		}
	})
}

// TestResumedHolderEndsItsTerm resumes the holder after a successor took over. What it left must
// be freed although its process continues to run.
func TestResumedHolderEndsItsTerm(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, cluster *cluster, holder, successor *process) {
		cluster.addModel(catalogue.Model{Name: "large", Version: "1", Weights: 60 * gigabyte})
		cluster.advance(10 * time.Second)
		cluster.failOrders(enginefake.RequestLost)
		cluster.reportDemand("planner", 2, 5)
		cluster.advance(step)
		holder.paused = true
		cluster.advance(14 * time.Second)
		if _, owned := successor.lease.Owned(); !owned {
			t.Fatal("no takeover")
		}
		holder.paused = false
		if !cluster.requestUntilReady("large", 600) {
			t.Fatal("what the former holder left is still charged")
		}
	})
}

// TestPlannedStopFreesTheBudget stops the holder and lets the successor use all memory soon
// after.
func TestPlannedStopFreesTheBudget(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, cluster *cluster, holder, _ *process) {
		cluster.addModel(catalogue.Model{Name: "large", Version: "1", Weights: 60 * gigabyte})
		cluster.advance(10 * time.Second)
		holder.decider.stop(t.Context(), time.Second)
		cluster.kill(holder)
		if !cluster.requestUntilReady("large", 60) {
			t.Fatal("the budget of the stopped holder is still charged")
		}
	})
}

// TestListWithoutOwnVMFreesNothing empties the VM list while the holder is paused. A list
// without the VM of the process that reads it is no proof that the holder has ended.
func TestListWithoutOwnVMFreesNothing(t *testing.T) {
	cluster := newCluster(t, kinds[2], 1, 64*gigabyte)
	cluster.addModel(catalogue.Model{Name: "large", Version: "1", Weights: 60 * gigabyte})
	cluster.addModel(plannerModel())
	holder := cluster.start("entry-1")
	cluster.advance(4 * time.Second)
	cluster.start("entry-2")
	cluster.failOrders(enginefake.RequestLost)
	cluster.reportDemand("planner", 2, 5)
	cluster.advance(step)
	holder.paused = true
	cluster.platform.SetVMs()
	if cluster.requestUntilReady("large", 1200) {
		t.Fatal("a list without the reader's own VM was taken as proof")
	}
}

// TestNewerProcessProvesOlderGone starts another process on the VM of the killed holder.
func TestNewerProcessProvesOlderGone(t *testing.T) {
	cluster := newCluster(t, kinds[2], 1, 64*gigabyte)
	cluster.addModel(catalogue.Model{Name: "large", Version: "1", Weights: 60 * gigabyte})
	cluster.addModel(plannerModel())
	holder := cluster.start("entry-1")
	cluster.advance(4 * time.Second)
	cluster.failOrders(enginefake.RequestLost)
	cluster.reportDemand("planner", 2, 5)
	cluster.advance(step)
	cluster.kill(holder)
	again := cluster.startProcess("entry-1", "2")
	if !cluster.requestUntilReady("large", 700) {
		t.Fatalf("the charge of the older process was never freed: %+v", again.decider.Status())
	}
}

// TestIntermittentListFreesNothing leaves the paused holder's VM out of the list for less than
// the lag of the list.
func TestIntermittentListFreesNothing(t *testing.T) {
	cluster := newCluster(t, kinds[2], 1, 64*gigabyte)
	cluster.addModel(catalogue.Model{Name: "large", Version: "1", Weights: 60 * gigabyte})
	cluster.addModel(plannerModel())
	holder := cluster.start("entry-1")
	cluster.advance(4 * time.Second)
	cluster.start("entry-2")
	cluster.failOrders(enginefake.RequestLost)
	cluster.reportDemand("planner", 2, 5)
	cluster.advance(step)
	holder.paused = true
	cluster.advance(15 * time.Second)
	all := cluster.vms
	for range 4 {
		cluster.platform.SetVMs(all[1])
		cluster.requestUntilReady("large", 200)
		cluster.platform.SetVMs(all...)
		if cluster.requestUntilReady("large", 100) {
			t.Fatal("a list that lags was taken as proof")
		}
	}
}

// TestHolderDiesAtEachStep kills the holder at each step of a burst.
func TestHolderDiesAtEachStep(t *testing.T) {
	faults := map[string]enginefake.Fault{
		"answered": enginefake.None, "lost before": enginefake.RequestLost, "lost after": enginefake.ResponseLost, "late": enginefake.Late,
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for at := range 8 {
				eachKind(t, 3, func(t *testing.T, cluster *cluster, holder, _ *process) {
					cluster.failOrders(fault)
					for range at {
						cluster.reportDemand("planner", 72, 50)
						cluster.advance(step)
					}
					cluster.kill(holder)
					ready := false
					for range 250 {
						cluster.reportDemand("planner", 3, 1200)
						cluster.advance(step)
						ready = ready || cluster.ready("planner")
					}
					if !ready {
						t.Fatalf("killed after %d steps: not loaded within 25 s", at)
					}
					cluster.deliverLate()
					cluster.advance(time.Second)
				})
			}
		})
	}
}

// TestHolderDiesBetweenIntentAndOrder kills the holder after a write whose response is lost.
func TestHolderDiesBetweenIntentAndOrder(t *testing.T) {
	eachKind(t, 3, func(t *testing.T, cluster *cluster, holder, _ *process) {
		cluster.advance(6 * time.Second)
		holder.client.FailWrites(platformfake.UnclearWithEffect)
		cluster.reportDemand("planner", 72, 50)
		cluster.advance(step)
		cluster.kill(holder)
		if !cluster.requestUntilReady("planner", 250) {
			t.Fatal("not loaded within 25 s")
		}
	})
}

// TestEngineRestartsDuringLoad restarts the engine while the order is loading, lost in the
// response, or late.
func TestEngineRestartsDuringLoad(t *testing.T) {
	for _, fault := range []enginefake.Fault{enginefake.None, enginefake.ResponseLost, enginefake.Late} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			eachKind(t, 2, func(t *testing.T, cluster *cluster, holder, _ *process) {
				cluster.failOrders(fault)
				cluster.reportDemand("planner", 2, 5)
				cluster.advance(2 * step)
				for _, engine := range cluster.engines {
					engine.Restart()
				}
				if !cluster.requestUntilReady("planner", 100) {
					t.Fatal("not loaded again")
				}
				cluster.deliverLate()
				cluster.advance(2 * time.Second)
				holder.paused = true
				cluster.advance(20 * time.Second)
			})
		})
	}
}

// TestRoleIsChangedOnce has requests wait that only an idle prefill engine has room for.
func TestRoleIsChangedOnce(t *testing.T) {
	eachKind(t, 1, func(t *testing.T, cluster *cluster, _, _ *process) {
		order := upstream.Order{ID: "role", Verb: upstream.ChangeRole, Role: upstream.Prefill, Fence: 1, BootID: "engine-0-boot-1"}
		cluster.engines[0].DeliverOrder(order)
		cluster.advance(2 * time.Second)
		if !cluster.requestUntilReady("planner", 100) {
			t.Fatal("not loaded")
		}
		if orders := cluster.engines[0].SentOrders(upstream.ChangeRole); len(orders) != 1 {
			t.Fatalf("%d orders to change the role, want 1", len(orders))
		}
	})
}
