package decider

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestInheritedReplicaStaysInItsBudget finds a replica that a holder loaded within the budget of a
// still earlier one. While that budget is open, a row that takes the place of the replica's row
// must not count beside it.
func TestInheritedReplicaStaysInItsBudget(t *testing.T) {
	const linger, memory = 10 * time.Second, 10 * gigabyte
	sender := func(fence uint64) intent.Sender {
		return intent.Sender{VM: "entry-1", Process: "process", Reign: fence}
	}
	began := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	book := intent.NewTracker(sender(8), linger)
	book.Add(intent.Intent{
		ID: "loaded", Upstream: "engine-1", Verb: upstream.Load, Model: "planner", Version: "1",
		Memory: memory, Fence: 7, Sender: sender(7), Budget: 6,
	}, true, began)
	book.AddBudget(intent.Budget{
		Fence: 6, Sender: sender(6), Shares: []intent.Share{{Upstream: "engine-1", Memory: memory}},
	}, began)
	book.Observe(intent.View{
		AsOf: began.Add(time.Second),
		State: upstream.State{Upstream: "engine-1", BootID: "boot", Capacity: 2 * memory, Replicas: []upstream.Replica{
			{Model: "planner", Version: "1", Phase: upstream.Ready, Memory: memory},
		}},
	})
	book.MarkSenderEnded(sender(6), began)
	book.MarkSenderEnded(sender(7), began)
	heir := &reign{decider: &Decider{}, fence: 8, sender: sender(8), book: book, now: began.Add(2 * linger)}
	change := heir.change(nil)
	if len(change.NewIntents) != 1 {
		t.Fatalf("the row is not replaced: %+v", change)
	}
	heir.apply(change)
	if got := book.ChargedMemory("engine-1", heir.now); got != memory {
		t.Errorf("charged %d bytes for one replica of %d bytes", got, memory)
	}
}
