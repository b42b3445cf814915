package decider

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
)

// endedEvery is the interval of attempts to record the end of a reign.
const endedEvery = time.Second

// endReign notes that this process sends nothing more under the present fencing number.
func (decider *Decider) endReign() {
	if decider.reign == nil {
		return
	}
	decider.ended = max(decider.ended, decider.reign.fence)
	decider.reign = nil
}

// recordEnded records the end of past reigns once none of their orders is on its way. Without
// the record, a successor would charge what they left for as long as this process lives.
func (decider *Decider) recordEnded(ctx context.Context) error {
	if decider.ended == 0 || decider.deps.Clock.Since(decider.endedAt) < endedEvery {
		return nil
	}
	for fence := range decider.onTheWay {
		if fence <= decider.ended {
			return nil
		}
	}
	if decider.reign != nil && decider.reign.away {
		return nil
	}
	decider.endedAt = decider.deps.Clock.Now()
	return decider.registry.RecordTermEnd(ctx, decider.ended)
}

// closeBudget removes the budget of the reign at a planned stop, after its last order, together with
// writing the rows of what was decided within it: without its budget, a successor takes a replica
// without a row as one that nobody decided. While a change is unclear the budget stays.
func (decider *Decider) closeBudget(ctx context.Context) {
	guard, owned := decider.deps.Lease.Guard()
	last := decider.reign
	if last == nil || !owned || last.pending != nil {
		return
	}
	last.now = decider.deps.Clock.Now()
	change := last.change(nil)
	change.Budget = nil
	change.TrimmedBudgets = append(change.TrimmedBudgets, intent.Budget{Fence: last.fence})
	if err := decider.log.Commit(ctx, guard, change); err != nil {
		event.BudgetLeft.LogError(err, "DataCentre", decider.settings.DataCentre, "Fence", last.fence)
	}
}
