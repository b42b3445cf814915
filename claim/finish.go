package claim

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/internal/invariant"
)

// Complete records the whole answer. While the table service is away the record is kept for later, and
// resends learn that the call may have run. It costs one write, shared with other changes.
func (store *Store) Complete(ctx context.Context, ticket Ticket, answer Response) {
	ticket.record.Answer = &answer
	store.finish(ctx, ticket, store.rewrite)
}

// Lose records that the first sending ended without a known answer.
func (store *Store) Lose(ctx context.Context, ticket Ticket) {
	ticket.record.RunsUntil = store.clock.Now()
	store.finish(ctx, ticket, store.rewrite)
}

// Release gives up a claim whose request provably did not run, so that a resend may run.
func (store *Store) Release(ctx context.Context, ticket Ticket) {
	store.finish(ctx, ticket, store.remove)
}

// unclaim gives up a claim of which it is unclear whether it was written. pending is its insertion if
// that has not ended, or nil.
func (store *Store) unclaim(ticket Ticket, pending *change) {
	store.hold(ticket.record.Attempt, false)
	ticket.version = 0
	store.postpone(func(ctx context.Context) bool {
		if pending != nil && len(pending.done) == 0 {
			return false
		}
		return store.apply(ctx, ticket, store.remove)
	})
}

// finish applies the last change of a claim, now or later.
func (store *Store) finish(ctx context.Context, ticket Ticket, last func(Ticket) *change) {
	defer store.hold(ticket.record.Attempt, false)
	if !store.apply(ctx, ticket, last) {
		event.ClaimPostponed.Log("Row", ticket.key.Row, "Request", ticket.record.Attempt)
		ticket.version = 0
		store.postpone(func(ctx context.Context) bool { return store.apply(ctx, ticket, last) })
	}
}

// postpone keeps the work until the table service is back. Without room it is dropped, after which
// resends learn that the call may have run.
func (store *Store) postpone(work func(ctx context.Context) bool) {
	if !store.later.TryPut(work) {
		event.ClaimDropped.Log()
	}
}

// apply writes the change once and reports whether nothing is left to do.
func (store *Store) apply(ctx context.Context, ticket Ticket, last func(Ticket) *change) bool {
	if ticket.version == 0 {
		version, mine, err := store.version(ctx, ticket)
		if err != nil {
			return false
		}
		if !mine {
			return true
		}
		ticket.version = version
	}
	wanted := last(ticket)
	store.group.add(wanted)
	ending, ended := await(ctx, wanted)
	return ended && store.written(ctx, ticket, last, ending.err)
}

// written reports whether nothing is left to do after a change that ended like this.
func (store *Store) written(ctx context.Context, ticket Ticket, last func(Ticket) *change, err error) bool {
	if err == nil {
		return true
	}
	if !errors.Is(err, datastore.ErrConflict) {
		return false
	}
	version, mine, err := store.version(ctx, ticket)
	if err != nil {
		return false
	}
	if !mine || version == ticket.version {
		return true
	}
	return store.settledBefore(ctx, ticket, last)
}

// settledBefore reports whether the row shows that the change took effect under another version.
func (store *Store) settledBefore(ctx context.Context, ticket Ticket, last func(Ticket) *change) bool {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	applied, err := store.group.applied(ctx, last(ticket))
	return err == nil && applied
}

// version returns the version of the row and whether it is still the claim of the ticket.
func (store *Store) version(ctx context.Context, ticket Ticket) (version uint64, mine bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	row, err := store.tables.Read(ctx, ticket.key)
	if errors.Is(err, datastore.ErrNotFound) {
		return 0, false, nil
	}
	if err != nil {
		return 0, false, err
	}
	mine = isOf(row, ticket.record.Attempt)
	if ticket.record.Answer != nil {
		invariant.Check(mine, invariant.RunsOnce, "Row", ticket.key.Row, "Attempt", ticket.record.Attempt)
	}
	return row.Version, mine, nil
}

// rewrite returns the change that replaces the record.
func (store *Store) rewrite(ticket Ticket) *change {
	value := ticket.record.encode()
	return &change{
		attempt: ticket.record.Attempt,
		writes:  []datastore.Write{{Key: ticket.key, Check: true, IfVersion: ticket.version, Value: value}},
		applied: func(row datastore.Row, found bool) bool { return found && string(row.Value) == string(value) },
		done:    make(chan end, 1),
	}
}

// remove returns the change that deletes the row.
func (store *Store) remove(ticket Ticket) *change {
	return &change{
		attempt: ticket.record.Attempt,
		writes:  []datastore.Write{{Key: ticket.key, Check: true, IfVersion: ticket.version, Delete: true}},
		applied: func(row datastore.Row, found bool) bool { return !found || !isOf(row, ticket.record.Attempt) },
		done:    make(chan end, 1),
	}
}

// The intervals of Run.
const (
	retryEvery = time.Second
	sweepEvery = 10 * time.Second
)

// Run writes what was kept for later and deletes old claims if the settings say so, until the context ends.
func (store *Store) Run(ctx context.Context) {
	swept := store.clock.Now()
	for {
		timer := store.clock.NewTimer(retryEvery)
		select {
		case <-timer.C():
		case <-ctx.Done():
			timer.Stop()
			return
		}
		store.retry(ctx)
		if now := store.clock.Now(); store.settings.ShouldSweep() && now.Sub(swept) >= sweepEvery {
			if full, err := store.Sweep(ctx); err == nil && !full {
				swept = now
			}
		}
	}
}

// retry does each kept work once, and keeps what still fails.
func (store *Store) retry(ctx context.Context) {
	for range store.later.Len() {
		select {
		case work := <-store.later.Items():
			if !work(ctx) {
				store.postpone(work)
				return
			}
		default:
			return
		}
	}
}
