package decider

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
)

// endRecordInterval is the interval of attempts to record the end of a term.
const endRecordInterval = time.Second

// endTerm notes that this process sends nothing more under the present fencing number.
func (decider *Decider) endTerm() {
	if decider.term == nil {
		return
	}
	decider.endedFence = max(decider.endedFence, decider.term.fence)
	decider.term = nil
}

// recordEndedTerm records the end of past terms once none of their orders is in flight. Without
// the record, a successor would charge their rows and budgets for as long as this process runs.
func (decider *Decider) recordEndedTerm(ctx context.Context) error {
	if decider.endedFence == 0 || decider.deps.Clock.Since(decider.endAttemptedAt) < endRecordInterval {
		return nil
	}
	for fence := range decider.inFlight {
		if fence <= decider.endedFence {
			return nil
		}
	}
	if decider.term != nil && decider.term.outage {
		return nil
	}
	decider.endAttemptedAt = decider.deps.Clock.Now()
	return decider.registry.RecordTermEnd(ctx, decider.endedFence)
}

// removeBudget removes the budget of the term at a planned stop, after the last order, in the
// same transaction that writes the rows of what was decided within it. Without those rows, a
// successor that no longer finds the budget would take such a replica for one that nobody
// decided. The budget stays while a change is unresolved.
func (decider *Decider) removeBudget(ctx context.Context) {
	guard, owned := decider.deps.Lease.Guard()
	last := decider.term
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
