package decider

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// decide records the decisions. Their orders are sent only after that.
func (reign *reign) decide(ctx context.Context, decisions []placement.Decision) error {
	if reign.away {
		reign.decideAway(decisions)
		return nil
	}
	if reign.pending != nil {
		return nil
	}
	change := reign.change(decisions)
	if change.IsEmpty() {
		return nil
	}
	guard, owned := reign.decider.deps.Lease.Guard()
	if !owned {
		return nil
	}
	err := reign.decider.log.Commit(ctx, guard, change)
	switch {
	case err == nil:
		reign.apply(change)
		return nil
	case errors.Is(err, datastore.ErrConflict):
		_, until, _ := reign.decider.deps.Lease.Held()
		reign.deposed = true
		reign.awayTerm = until
		return err
	case errors.Is(err, datastore.ErrUnavailable):
		return reign.failed(err)
	default:
		reign.pending = &change
		reign.overtaken = false
		return err
	}
}

// change puts what is to be recorded into one transaction: the decisions, what was loaded
// without the table service, what is gone, and the new budget.
func (reign *reign) change(decisions []placement.Decision) intent.Change {
	var change intent.Change
	for _, entry := range reign.book.Entries() {
		gone := reign.book.Status(entry, reign.now) == intent.Closed
		switch {
		case gone && entry.Recorded:
			change.RemovedIDs = append(change.RemovedIDs, entry.Intent.ID)
		case gone:
			reign.book.Remove(entry.Intent.ID)
		case !entry.Recorded:
			change.NewIntents = append(change.NewIntents, entry.Intent)
		case entry.Intent.Verb == upstream.Load && reign.book.CanTakeOver(entry, reign.now):
			change.RemovedIDs = append(change.RemovedIDs, entry.Intent.ID)
			change.NewIntents = append(change.NewIntents, reign.inherit(entry.Intent))
		}
	}
	for _, decision := range decisions {
		change.NewIntents = append(change.NewIntents, reign.intend(decision))
	}
	change.TrimmedBudgets = reign.book.TrimBudgets(reign.now)
	budget := reign.nextBudget(change.NewIntents)
	if !budget.Equal(reign.budget) && (!change.IsEmpty() || reign.due(&reign.budgetAt, defaultBudgetEvery)) {
		change.Budget = &budget
	}
	return change
}

// inherit returns a row of this reign for a replica whose row a former holder wrote. It stays in the
// budget that permitted it, which may still be open.
func (reign *reign) inherit(row intent.Intent) intent.Intent {
	row.ID = reign.nextID()
	row.Fence = reign.fence
	row.Sender = reign.sender
	view, _ := reign.book.View(row.Upstream)
	row.BootID = view.State.BootID
	return row
}

// intend returns the intent of a decision.
func (reign *reign) intend(decision placement.Decision) intent.Intent {
	row := reign.newIntent(decision.Verb, decision.Upstream, decision.Model, decision.Version)
	row.Memory = decision.Memory
	row.Role = decision.Role
	row.Tier = decision.Tier
	logDecision(row, decision)
	return row
}

func logDecision(row intent.Intent, decision placement.Decision) {
	switch row.Verb {
	case upstream.Load:
		event.LoadDecided.Log("Upstream", row.Upstream, "Model", row.Model, "Version", row.Version,
			"Order", row.ID, "Fence", row.Fence, "Tier", int(row.Tier), "Warm", decision.Warm)
	case upstream.Unload:
		event.UnloadDecided.Log("Upstream", row.Upstream, "Model", row.Model, "Version", row.Version, "Order", row.ID, "Fence", row.Fence)
	default:
		event.RoleDecided.Log("Upstream", row.Upstream, "Role", row.Role, "Order", row.ID, "Fence", row.Fence)
	}
}

// apply takes a change that is in the table service into the book.
func (reign *reign) apply(change intent.Change) {
	for _, row := range change.NewIntents {
		reign.applyOpen(row)
	}
	for _, id := range change.RemovedIDs {
		reign.book.Remove(id)
	}
	for _, budget := range change.TrimmedBudgets {
		if len(budget.Shares) == 0 {
			reign.book.RemoveBudget(budget.Fence)
			continue
		}
		reign.book.AddBudget(budget, reign.now)
	}
	if change.Budget != nil {
		reign.budget = *change.Budget
	}
}

func (reign *reign) applyOpen(row intent.Intent) {
	known := reign.book.Entry(row.ID) != nil
	reign.book.Add(row, true, reign.now)
	if known || row.Verb != upstream.Load {
		return
	}
	if reign.isShown(row) {
		// The row was inherited: the replica is there and nothing is to be sent.
		reign.book.Abandon(row.ID)
		return
	}
	if row.Tier == upstream.Remote {
		reign.decider.bucket.Start(reign.now)
	}
}

// isShown reports whether the engine shows the replica of the row.
func (reign *reign) isShown(row intent.Intent) bool {
	view, _ := reign.book.View(row.Upstream)
	_, shown := view.Replica(row.Model, row.Version)
	return shown
}

// decideAway decides within the recorded budget. Rows follow once the table service is back.
func (reign *reign) decideAway(decisions []placement.Decision) {
	reign.overtaken = true
	for _, entry := range reign.book.Entries() {
		if !entry.Recorded && reign.book.Status(entry, reign.now) == intent.Closed {
			reign.book.Remove(entry.Intent.ID)
		}
	}
	for _, decision := range decisions {
		if decision.Verb == upstream.ChangeRole {
			continue
		}
		row := reign.intend(decision)
		reign.book.Add(row, false, reign.now)
		if row.Verb == upstream.Load && row.Tier == upstream.Remote {
			reign.decider.bucket.Start(reign.now)
		}
	}
}
