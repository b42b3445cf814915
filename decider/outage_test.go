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

// TestStoreDownBeforeLoad takes the table service down before the first request.
func TestStoreDownBeforeLoad(t *testing.T) {
	eachKind(t, 2, func(t *testing.T, cluster *cluster, holder, _ *process) {
		cluster.advance(10 * time.Second)
		cluster.platform.SetDown(true)
		cluster.advance(time.Minute)
		if !cluster.requestUntilReady("planner", 100) {
			t.Fatal("no cold start within the budget")
		}
		cluster.platform.SetDown(false)
		cluster.advance(20 * time.Second)
		if status := holder.decider.Status(); status.Outage {
			t.Errorf("the outage has not ended: %+v", status)
		}
	})
}

// TestStoreDownAndHolderPaused cuts the holder off from the table service, so that it continues
// within its budget after a successor took over.
func TestStoreDownAndHolderPaused(t *testing.T) {
	eachKind(t, 2, func(t *testing.T, cluster *cluster, holder, successor *process) {
		for i := range 4 {
			cluster.addModel(catalogue.Model{Name: fmt.Sprintf("other-%d", i), Version: "1", Weights: 20 * gigabyte})
		}
		cluster.advance(10 * time.Second)
		holder.client.SetPartitioned(true)
		cluster.advance(20 * time.Second)
		if _, owned := successor.lease.Owned(); !owned {
			t.Fatal("no takeover")
		}
		for range 100 {
			for name := range cluster.models {
				cluster.reportDemand(name, 1, 5)
			}
			cluster.advance(step)
		}
		minReady := len(cluster.models)
		if !cluster.kind.fencesReliably() {
			// Without proof that the holder has ended its budget, half of the memory, stays
			// charged.
			minReady = 2
		}
		if ready := cluster.countReady(); ready < minReady {
			t.Errorf("%d models are loaded, want at least %d", ready, minReady)
		}
		holder.client.SetPartitioned(false)
		cluster.advance(20 * time.Second)
	})
}

// TestBudgetOfPausedHolderStaysCharged pauses a holder while its orders within the budget are in
// flight. The successor is then asked for some of the same models and for as many others as fit.
func TestBudgetOfPausedHolderStaysCharged(t *testing.T) {
	eachKind(t, 2, func(t *testing.T, cluster *cluster, holder, _ *process) {
		for i := range 16 {
			name := fmt.Sprintf("model-%02d", i)
			cluster.addModel(catalogue.Model{Name: name, Version: "1", Weights: 10 * gigabyte})
			for _, engine := range cluster.engines {
				engine.SetCheckpoint(name, "1", upstream.Disk)
			}
		}
		cluster.advance(10 * time.Second)
		holder.client.SetPartitioned(true)
		cluster.advance(8 * time.Second)
		for range 16 {
			cluster.failOrders(enginefake.Late)
		}
		for i := range 8 {
			cluster.reportDemand(fmt.Sprintf("model-%02d", i), 1, 5)
		}
		holder.run()
		holder.run()
		holder.paused = true
		cluster.clearFaults()
		cluster.advance(20 * time.Second)
		for range 100 {
			for i := range 8 {
				cluster.reportDemand(fmt.Sprintf("model-%02d", i+8), 1, 5)
			}
			for i := range 4 {
				cluster.reportDemand(fmt.Sprintf("model-%02d", i), 1, 5)
			}
			cluster.advance(step)
		}
		if cluster.deliverLate() == 0 {
			t.Fatal("no order within the budget was late")
		}
		cluster.advance(5 * time.Second)
		holder.paused = false
		holder.client.SetPartitioned(false)
		cluster.advance(20 * time.Second)
	})
}

// TestWriteOfIntent covers each fault of the transaction that records a load.
func TestWriteOfIntent(t *testing.T) {
	for _, fault := range []platformfake.Fault{
		platformfake.Unavailable, platformfake.UnclearWithEffect, platformfake.UnclearWithoutEffect, platformfake.UnclearLate,
	} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			eachKind(t, 3, func(t *testing.T, cluster *cluster, holder, _ *process) {
				cluster.advance(6 * time.Second)
				holder.client.FailWrites(fault)
				if !cluster.requestUntilReady("planner", 100) {
					t.Fatal("not loaded")
				}
				cluster.platform.ApplyLate()
				cluster.advance(10 * time.Second)
			})
		})
	}
}
