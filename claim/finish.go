package claim

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/invariant"
)

// Complete records the complete response. While the table service is unavailable the write is queued for retry,
// and repeated calls are refused because the call may have run. It costs one write, batched with others.
func (store *Store) Complete(ctx context.Context, ticket Ticket, response Response) {
	ticket.record.Answer = &response
	store.finish(ctx, ticket, store.replacement)
}

// Lose records that the first attempt ended without a known response.
func (store *Store) Lose(ctx context.Context, ticket Ticket) {
	ticket.record.RunsUntil = store.clock.Now()
	store.finish(ctx, ticket, store.replacement)
}

// Release deletes the claim of a request that provably did not run, so that a repeated call may run.
func (store *Store) Release(ctx context.Context, ticket Ticket) {
	store.finish(ctx, ticket, store.deletion)
}

// releaseUnclear queues the deletion of a claim that may or may not have been written. insertion is its
// insertion if that is still pending, or nil.
func (store *Store) releaseUnclear(ticket Ticket, insertion *change) {
	store.setRunning(ticket.record.Attempt, false)
	ticket.version = 0
	store.postpone(func(ctx context.Context) bool {
		if insertion != nil && len(insertion.done) == 0 {
			return false
		}
		return store.apply(ctx, ticket, store.deletion)
	})
}

// finish applies the final change of a claim, or queues it for retry if that fails.
func (store *Store) finish(ctx context.Context, ticket Ticket, final func(Ticket) *change) {
	defer store.setRunning(ticket.record.Attempt, false)
	if !store.apply(ctx, ticket, final) {
		event.ClaimPostponed.Log("Row", ticket.key.Row, "Request", ticket.record.Attempt)
		ticket.version = 0
		store.postpone(func(ctx context.Context) bool { return store.apply(ctx, ticket, final) })
	}
}

// postpone queues the work until the table service is available. If the queue is full the work is dropped; repeated
// calls are then refused because the call may have run.
func (store *Store) postpone(work func(ctx context.Context) bool) {
	if !store.postponed.TryPut(work) {
		event.ClaimDropped.Log()
	}
}

// apply tries to write the final change and reports whether no retry is needed.
func (store *Store) apply(ctx context.Context, ticket Ticket, final func(Ticket) *change) bool {
	if ticket.version == 0 {
		version, owned, err := store.version(ctx, ticket)
		if err != nil {
			return false
		}
		if !owned {
			return true
		}
		ticket.version = version
	}
	queued := final(ticket)
	store.batcher.add(queued)
	result, ended := await(ctx, queued)
	return ended && store.isResolved(ctx, ticket, final, result.err)
}

// isResolved reports whether no retry is needed after a change that ended with the error.
func (store *Store) isResolved(ctx context.Context, ticket Ticket, final func(Ticket) *change, err error) bool {
	if err == nil {
		return true
	}
	if !errors.Is(err, datastore.ErrConflict) {
		return false
	}
	version, owned, err := store.version(ctx, ticket)
	if err != nil {
		return false
	}
	if !owned || version == ticket.version {
		return true
	}
	return store.tookEffect(ctx, ticket, final)
}

// tookEffect reports whether the row shows the change although its version is not the expected one.
func (store *Store) tookEffect(ctx context.Context, ticket Ticket, final func(Ticket) *change) bool {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	applied, err := store.batcher.applied(ctx, final(ticket))
	return err == nil && applied
}

// version reads the version of the row and whether the row still belongs to the attempt of the ticket.
func (store *Store) version(ctx context.Context, ticket Ticket) (version datastore.Version, owned bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	row, err := store.tables.Read(ctx, ticket.key)
	if errors.Is(err, datastore.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	owned = belongsTo(row, ticket.record.Attempt)
	if ticket.record.Answer != nil {
		invariant.Check(owned, invariant.RunsOnce, "Row", ticket.key.Row, "Attempt", ticket.record.Attempt)
	}
	return row.Version, owned, nil
}

// replacement returns the change that replaces the record.
func (store *Store) replacement(ticket Ticket) *change {
	value := ticket.record.encode()
	return &change{
		attempt: ticket.record.Attempt,
		writes:  []datastore.Write{{Key: ticket.key, Check: true, IfVersion: ticket.version, Value: value}},
		applied: func(row datastore.Row, found bool) bool { return found && string(row.Value) == string(value) },
		done:    make(chan commitResult, 1),
	}
}

// deletion returns the change that deletes the row.
func (store *Store) deletion(ticket Ticket) *change {
	return &change{
		attempt: ticket.record.Attempt,
		writes:  []datastore.Write{{Key: ticket.key, Check: true, IfVersion: ticket.version, Delete: true}},
		applied: func(row datastore.Row, found bool) bool { return !found || !belongsTo(row, ticket.record.Attempt) },
		done:    make(chan commitResult, 1),
	}
}

// The intervals of Run.
const (
	retryInterval = time.Second
	sweepInterval = 10 * time.Second
)

// Run retries postponed writes and, while Settings.ShouldSweep permits, deletes old claims, until the context ends.
func (store *Store) Run(ctx context.Context) {
	lastSweep := store.clock.Now()
	for {
		timer := store.clock.NewTimer(retryInterval)
		select {
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		store.retry(ctx)
		if now := store.clock.Now(); store.settings.ShouldSweep() && now.Sub(lastSweep) >= sweepInterval {
			if more, err := store.Sweep(ctx); err == nil && !more {
				lastSweep = now
			}
		}
	}
}

// retry runs the postponed work in order. It stops at the first failure and queues that work again.
func (store *Store) retry(ctx context.Context) {
	for range store.postponed.Len() {
		select {
		case work := <-store.postponed.Items():
			if !work(ctx) {
				store.postpone(work)
				return
			}
		default:
			return
		}
	}
}
