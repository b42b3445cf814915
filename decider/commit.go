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

// decide records the decisions in one transaction. Their orders are sent only after the commit.
// A commit with an unknown result becomes the pending change, and no further change is committed
// until it is resolved.
func (term *term) decide(ctx context.Context, decisions []placement.Decision) error {
	if term.outage {
		term.decideInOutage(decisions)
		return nil
	}
	if term.pending != nil {
		return nil
	}
	change := term.change(decisions)
	if change.IsEmpty() {
		return nil
	}
	guard, owned := term.decider.deps.Lease.Guard()
	if !owned {
		return nil
	}
	err := term.decider.log.Commit(ctx, guard, change)
	switch {
	case err == nil:
		term.apply(change)
		return nil
	case errors.Is(err, datastore.ErrConflict):
		_, until, _ := term.decider.deps.Lease.Held()
		term.commitRefused = true
		term.failureExpiry = until
		return err
	case errors.Is(err, datastore.ErrUnavailable):
		return term.handleStoreError(err)
	default:
		term.pending = &change
		term.decidedInOutage = false
		return err
	}
}

// change collects everything to record in one transaction: the decisions, the loads decided
// during an outage, the removal of closed intents, and the new budget.
func (term *term) change(decisions []placement.Decision) intent.Change {
	var change intent.Change
	for _, entry := range term.tracker.Entries() {
		closed := term.tracker.Status(entry, term.now) == intent.Closed
		switch {
		case closed && entry.Recorded:
			change.RemovedIDs = append(change.RemovedIDs, entry.Intent.ID)
		case closed:
			term.tracker.Remove(entry.Intent.ID)
		case !entry.Recorded:
			change.NewIntents = append(change.NewIntents, entry.Intent)
		case entry.Intent.Verb == upstream.Load && term.tracker.CanTakeOver(entry, term.now):
			change.RemovedIDs = append(change.RemovedIDs, entry.Intent.ID)
			change.NewIntents = append(change.NewIntents, term.inherit(entry.Intent))
		}
	}
	for _, decision := range decisions {
		change.NewIntents = append(change.NewIntents, term.intentOf(decision))
	}
	change.TrimmedBudgets = term.tracker.TrimBudgets(term.now)
	budget := term.nextBudget(change.NewIntents)
	if !budget.Equal(term.budget) && (!change.IsEmpty() || term.due(&term.budgetUpdatedAt, budgetInterval)) {
		change.Budget = &budget
	}
	return change
}

// inherit returns a row of this term for a replica whose row a former holder wrote. The new row
// still counts against the budget that permitted the replica, since that budget may still be
// open.
func (term *term) inherit(row intent.Intent) intent.Intent {
	row.ID = term.nextID()
	row.Fence = term.fence
	row.Sender = term.sender
	view, _ := term.tracker.View(row.Upstream)
	row.BootID = view.State.BootID
	return row
}

// intentOf returns the intent of a decision.
func (term *term) intentOf(decision placement.Decision) intent.Intent {
	row := term.newIntent(decision.Verb, decision.Upstream, decision.Model, decision.Version)
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

// apply applies a committed change to the intents in memory.
func (term *term) apply(change intent.Change) {
	for _, row := range change.NewIntents {
		term.applyIntent(row)
	}
	for _, id := range change.RemovedIDs {
		term.tracker.Remove(id)
	}
	for _, budget := range change.TrimmedBudgets {
		if len(budget.Shares) == 0 {
			term.tracker.RemoveBudget(budget.Fence)
			continue
		}
		term.tracker.AddBudget(budget, term.now)
	}
	if change.Budget != nil {
		term.budget = *change.Budget
	}
}

func (term *term) applyIntent(row intent.Intent) {
	known := term.tracker.Entry(row.ID) != nil
	term.tracker.Add(row, true, term.now)
	if known || row.Verb != upstream.Load {
		return
	}
	if term.isShown(row) {
		// The row was inherited: the replica is loaded already, so there is no order to send.
		term.tracker.Abandon(row.ID)
		return
	}
	if row.Tier == upstream.Remote {
		term.decider.bucket.Start(term.now)
	}
}

// isShown reports whether the engine shows the replica of the row.
func (term *term) isShown(row intent.Intent) bool {
	view, _ := term.tracker.View(row.Upstream)
	_, shown := view.Replica(row.Model, row.Version)
	return shown
}

// decideInOutage decides within the recorded budget. The rows are written once the table service
// is available again.
func (term *term) decideInOutage(decisions []placement.Decision) {
	term.decidedInOutage = true
	for _, entry := range term.tracker.Entries() {
		if !entry.Recorded && term.tracker.Status(entry, term.now) == intent.Closed {
			term.tracker.Remove(entry.Intent.ID)
		}
	}
	for _, decision := range decisions {
		if decision.Verb == upstream.ChangeRole {
			continue
		}
		row := term.intentOf(decision)
		term.tracker.Add(row, false, term.now)
		if row.Verb == upstream.Load && row.Tier == upstream.Remote {
			term.decider.bucket.Start(term.now)
		}
	}
}
