package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestInheritedReplicaStaysInItsBudget has a replica that a former holder loaded within the
// budget of a still earlier one. While that budget is open, the row that replaces the replica's
// row must not be charged in addition to it.
func TestInheritedReplicaStaysInItsBudget(t *testing.T) {
	const lifetime, memory = 10 * time.Second, 10 * gigabyte
	sender := func(fence uint64) intent.Sender {
		return intent.Sender{VM: "entry-1", Process: "process", Reign: fence}
	}
	start := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	tracker := intent.NewTracker(sender(8), lifetime)
	tracker.Add(intent.Intent{
		ID: "loaded", Upstream: "engine-1", Verb: upstream.Load, Model: "planner", Version: "1",
		Memory: memory, Fence: 7, Sender: sender(7), Budget: 6,
	}, true, start)
	tracker.AddBudget(intent.Budget{
		Fence: 6, Sender: sender(6), Shares: []intent.Share{{Upstream: "engine-1", Memory: memory}},
	}, start)
	tracker.Observe(intent.View{
		AsOf: start.Add(time.Second),
		State: upstream.State{Upstream: "engine-1", BootID: "boot", Capacity: 2 * memory, Replicas: []upstream.Replica{
			{Model: "planner", Version: "1", Phase: upstream.Ready, Memory: memory},
		}},
	})
	tracker.MarkSenderEnded(sender(6), start)
	tracker.MarkSenderEnded(sender(7), start)
	successor := &term{decider: &Decider{}, fence: 8, sender: sender(8), tracker: tracker, now: start.Add(2 * lifetime)}
	change := successor.change(nil)
	if len(change.NewIntents) != 1 {
		t.Fatalf("the row is not replaced: %+v", change)
	}
	successor.apply(change)
	if got := tracker.ChargedMemory("engine-1", successor.now); got != memory {
		t.Errorf("charged %d bytes for one replica of %d bytes", got, memory)
	}
}
