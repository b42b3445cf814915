package decider

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
)

// syncStore performs the calls to the table service that are due before a pass: it resolves a
// pending change, looks for senders that have ended and exchanges permits.
func (term *term) syncStore(ctx context.Context) error {
	if term.outage {
		return nil
	}
	if err := term.resolvePending(ctx); err != nil {
		return term.handleStoreError(err)
	}
	term.markEndedTerms()
	if term.due(&term.sendersCheckedAt, senderCheckInterval) {
		term.markEndedSenders(ctx)
	}
	if term.due(&term.permitsSyncedAt, permitSyncInterval) {
		return term.handleStoreError(term.syncPermits(ctx))
	}
	return nil
}

// markEndedSenders marks the senders of open rows and budgets that provably send no more orders.
func (term *term) markEndedSenders(ctx context.Context) {
	senders := term.tracker.OtherSenders()
	if len(senders) == 0 {
		return
	}
	for _, sender := range term.decider.registry.EndedSenders(ctx, senders) {
		term.tracker.MarkSenderEnded(sender, term.now)
	}
}

// updateOutage detects the beginning and the end of an outage of the table service. An outage
// begins with a call without a usable response or when the lease expires, and ends when the
// lease is renewed.
func (term *term) updateOutage() {
	_, until, held := term.decider.deps.Lease.Held()
	switch {
	case !term.outage && !held:
		term.beginOutage()
	case term.outage && held && !until.Equal(term.failureExpiry):
		term.outage = false
		event.OutageEnded.Log("DataCentre", term.decider.settings.DataCentre, "Fence", term.fence)
	}
}

func (term *term) beginOutage() {
	_, until, _ := term.decider.deps.Lease.Held()
	term.outage = true
	term.failureExpiry = until
	event.OutageBegan.Log("DataCentre", term.decider.settings.DataCentre, "Fence", term.fence)
}

// handleStoreError begins an outage if the call to the table service failed, and returns the
// error. A conflict is not an outage.
func (term *term) handleStoreError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, datastore.ErrConflict):
		return err
	default:
		if !term.outage {
			term.beginOutage()
		}
		return err
	}
}

// isStale reports whether the table service refused a transaction of this term and the lease has
// been renewed since, so that the rows must be read again.
func (term *term) isStale() bool {
	_, until, held := term.decider.deps.Lease.Held()
	return term.commitRefused && held && !until.Equal(term.failureExpiry)
}

// due reports whether the interval has passed since the last time, and if so sets that time to
// now.
func (term *term) due(last *time.Time, interval time.Duration) bool {
	if !last.IsZero() && term.now.Sub(*last) < interval {
		return false
	}
	*last = term.now
	return true
}

// markEndedTerms marks earlier terms of this process as ended once none of their orders is in
// flight.
func (term *term) markEndedTerms() {
	for _, sender := range term.tracker.OtherSenders() {
		own := sender.Process == term.sender.Process
		if own && sender.Reign != term.fence && term.decider.inFlight[sender.Reign] == 0 {
			term.tracker.MarkSenderEnded(sender, term.now)
		}
	}
}

// resolvePending determines whether the pending change took effect. The fence is refreshed
// first, so that the change cannot take effect later.
func (term *term) resolvePending(ctx context.Context) error {
	if term.pending == nil {
		return nil
	}
	if err := term.decider.deps.Lease.RefreshFence(ctx); err != nil {
		return err
	}
	isApplied, err := term.isApplied(ctx, *term.pending)
	if err != nil {
		return err
	}
	change := *term.pending
	term.pending = nil
	if !isApplied {
		return nil
	}
	term.apply(change)
	if term.decidedInOutage {
		term.abandonUnsent(change)
	}
	return nil
}

// abandonUnsent abandons the orders of a change that were never sent and have been decided anew.
func (term *term) abandonUnsent(change intent.Change) {
	for _, row := range change.NewIntents {
		if entry := term.tracker.Entry(row.ID); entry != nil && entry.Attempts == 0 {
			term.tracker.Abandon(row.ID)
		}
	}
}

// isApplied reports whether the change is in the table service.
func (term *term) isApplied(ctx context.Context, change intent.Change) (bool, error) {
	if len(change.NewIntents) > 0 {
		return term.decider.log.Exists(ctx, change.NewIntents[0].ID)
	}
	if len(change.RemovedIDs) > 0 {
		exists, err := term.decider.log.Exists(ctx, change.RemovedIDs[0])
		return !exists, err
	}
	expected := slices.Clone(change.TrimmedBudgets)
	if change.Budget != nil {
		expected = append(expected, *change.Budget)
	}
	budgets, err := term.decider.log.Budgets(ctx)
	return err == nil && matchesBudgets(budgets, expected), err
}

// matchesBudgets reports whether the recorded budgets equal the expected ones; an expected
// budget without shares must not be recorded.
func matchesBudgets(recorded, expected []intent.Budget) bool {
	for _, budget := range expected {
		at := slices.IndexFunc(recorded, func(other intent.Budget) bool { return other.Fence == budget.Fence })
		if at < 0 && len(budget.Shares) > 0 || at >= 0 && !recorded[at].Equal(budget) {
			return false
		}
	}
	return true
}

func (term *term) syncPermits(ctx context.Context) error {
	guard, owned := term.decider.deps.Lease.Guard()
	if !owned || term.decider.settings.LoadsAtOnce == 0 {
		return nil
	}
	err := term.decider.quota.Sync(ctx, guard, term.permitUsage())
	if errors.Is(err, datastore.ErrConflict) {
		return nil
	}
	return err
}
