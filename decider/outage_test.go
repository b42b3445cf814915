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

// TestStoreDownBeforeLoad takes the table service away before anybody asks.
func TestStoreDownBeforeLoad(t *testing.T) {
	eachKind(t, 2, func(t *testing.T, world *world, holder, _ *process) {
		world.advance(10 * time.Second)
		world.platform.SetDown(true)
		world.advance(time.Minute)
		if !world.askFor("planner", 100) {
			t.Fatal("no cold start within the budget")
		}
		world.platform.SetDown(false)
		world.advance(20 * time.Second)
		if status := holder.decider.Status(); status.Outage {
			t.Errorf("still away: %+v", status)
		}
	})
}

// TestStoreDownAndHolderPaused lets the holder go on within its budget after a successor took over.
func TestStoreDownAndHolderPaused(t *testing.T) {
	eachKind(t, 2, func(t *testing.T, world *world, holder, successor *process) {
		for i := range 4 {
			world.addModel(catalogue.Model{Name: fmt.Sprintf("other-%d", i), Version: "1", Weights: 20 * gigabyte})
		}
		world.advance(10 * time.Second)
		holder.client.Cut(true)
		world.advance(20 * time.Second)
		if _, owned := successor.lease.Owned(); !owned {
			t.Fatal("no takeover")
		}
		for range 100 {
			for name := range world.models {
				world.ask(name, 1, 5)
			}
			world.advance(step)
		}
		least := len(world.models)
		if !world.kind.closes() {
			// Without proof that the holder is gone its budget, half of the memory, stays charged.
			least = 2
		}
		if ready := world.countReady(); ready < least {
			t.Errorf("%d models are loaded, want at least %d", ready, least)
		}
		holder.client.Cut(false)
		world.advance(20 * time.Second)
	})
}

// TestBudgetOfPausedHolderStaysCharged pauses a holder whose orders within its budget are on
// their way, while a successor is asked for some of the same models and for as many others as fit.
func TestBudgetOfPausedHolderStaysCharged(t *testing.T) {
	eachKind(t, 2, func(t *testing.T, world *world, holder, _ *process) {
		for i := range 16 {
			name := fmt.Sprintf("model-%02d", i)
			world.addModel(catalogue.Model{Name: name, Version: "1", Weights: 10 * gigabyte})
			for _, engine := range world.engines {
				engine.SetCheckpoint(name, "1", upstream.Disk)
			}
		}
		world.advance(10 * time.Second)
		holder.client.Cut(true)
		world.advance(8 * time.Second)
		for range 16 {
			world.fail(enginefake.Late)
		}
		for i := range 8 {
			world.ask(fmt.Sprintf("model-%02d", i), 1, 5)
		}
		holder.run()
		holder.run()
		holder.paused = true
		world.clear()
		world.advance(20 * time.Second)
		for range 100 {
			for i := range 8 {
				world.ask(fmt.Sprintf("model-%02d", i+8), 1, 5)
			}
			for i := range 4 {
				world.ask(fmt.Sprintf("model-%02d", i), 1, 5)
			}
			world.advance(step)
		}
		if world.deliver() == 0 {
			t.Fatal("no order within the budget was late")
		}
		world.advance(5 * time.Second)
		holder.paused = false
		holder.client.Cut(false)
		world.advance(20 * time.Second)
	})
}

// TestWriteOfIntent meets each fault of the transaction that records a load.
func TestWriteOfIntent(t *testing.T) {
	for _, fault := range []platformfake.Fault{
		platformfake.Unavailable, platformfake.UnclearWithEffect, platformfake.UnclearWithoutEffect, platformfake.UnclearLate,
	} {
		t.Run(fmt.Sprint(fault), func(t *testing.T) {
			eachKind(t, 3, func(t *testing.T, world *world, holder, _ *process) {
				world.advance(6 * time.Second)
				holder.client.FailWrites(fault)
				if !world.askFor("planner", 100) {
					t.Fatal("not loaded")
				}
				world.platform.ApplyLate()
				world.advance(10 * time.Second)
			})
		})
	}
}
