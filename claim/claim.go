package claim

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// Claim records that the request is about to be sent. It returns a ticket to send; or the recorded
// answer of an earlier sending; or an *outcome.Error of the kinds ClaimUnavailable, ClaimRunning,
// ClaimUnresolved and ClaimMismatch. It costs one write, shared with other changes of the same moment.
func (store *Store) Claim(ctx context.Context, req request.Request) (Ticket, *Answer, error) {
	if store.group.isAway() {
		return Ticket{}, nil, unavailable(datastore.ErrUnavailable)
	}
	now := store.clock.Now()
	ticket := store.ticket(&req, now)
	insert := store.insert(ticket, neighbours(now, keyName(req.Tenant, req.IdempotencyKey)))
	store.hold(ticket.record.Attempt, true)
	store.group.add(insert)
	ending, ended := await(ctx, insert)
	switch {
	case !ended:
		store.unclaim(ticket, insert)
		return Ticket{}, nil, unavailable(ctx.Err())
	case ending.err == nil:
		ticket.version = ending.version
		return ticket, nil, nil
	case errors.Is(ending.err, datastore.ErrConflict):
		return store.contested(ctx, &req, ticket)
	default:
		store.unclaim(ticket, nil)
		return Ticket{}, nil, unavailable(ending.err)
	}
}

// ticket returns the claim of the request before it is written.
func (store *Store) ticket(req *request.Request, now time.Time) Ticket {
	return Ticket{
		key: rowKey(bucket(now), keyName(req.Tenant, req.IdempotencyKey)),
		record: record{
			Fingerprint: req.Fingerprint,
			Attempt:     req.ID,
			Daemon:      store.settings.Incarnation,
			RunsUntil:   now.Add(store.settings.RunsFor),
		},
	}
}

// insert returns the change that inserts the row where no neighbour stands.
func (store *Store) insert(ticket Ticket, keys [3]datastore.Key) *change {
	return &change{
		attempt: ticket.record.Attempt,
		writes: []datastore.Write{
			{Key: keys[0], Check: true, Value: ticket.record.encode()},
			{Key: keys[1], Check: true, Only: true},
			{Key: keys[2], Check: true, Only: true},
		},
		applied: func(row datastore.Row, found bool) bool { return found && isOf(row, ticket.record.Attempt) },
		done:    make(chan end, 1),
	}
}

// isOf reports whether the row is the claim of the attempt.
func isOf(row datastore.Row, attempt string) bool {
	held, err := decode(row.Value)
	return err == nil && held.Attempt == attempt
}

// await waits for the end of the change, or until the context ends.
func await(ctx context.Context, wanted *change) (ending end, ended bool) {
	select {
	case ending = <-wanted.done:
		return ending, true
	case <-ctx.Done():
		return end{}, false
	}
}

// contested settles a claim whose row exists: it may be our own after a lost answer.
func (store *Store) contested(ctx context.Context, req *request.Request, ticket Ticket) (Ticket, *Answer, error) {
	row, held, err := store.find(ctx, req)
	if err != nil {
		store.unclaim(ticket, nil)
		return Ticket{}, nil, unavailable(err)
	}
	if held != nil && held.Attempt == ticket.record.Attempt {
		ticket.key, ticket.version = row.Key, row.Version
		return ticket, nil, nil
	}
	store.hold(ticket.record.Attempt, false)
	if held == nil {
		return Ticket{}, nil, outcome.New(outcome.ClaimUnavailable, "the claim changed while it was read").WithRetryAfter(time.Second)
	}
	answer, err := store.told(req, held)
	return Ticket{}, answer, err
}

// Find returns the recorded answer of an earlier sending, or the *outcome.Error that it came to, or
// nothing if there is no claim or it cannot be read. It costs two reads, or three near midnight.
func (store *Store) Find(ctx context.Context, req request.Request) (*Answer, error) {
	if store.group.isAway() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, awayReadTimeout)
		defer cancel()
	}
	_, held, err := store.find(ctx, &req)
	if err != nil || held == nil {
		return nil, nil
	}
	return store.told(&req, held)
}

// find returns the row of the claim of the key, or nothing.
func (store *Store) find(ctx context.Context, req *request.Request) (datastore.Row, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	for _, key := range readable(store.clock.Now(), keyName(req.Tenant, req.IdempotencyKey)) {
		row, err := store.tables.Read(ctx, key)
		if errors.Is(err, datastore.ErrNotFound) {
			continue
		}
		if err != nil {
			return datastore.Row{}, nil, err
		}
		held, err := decode(row.Value)
		if err != nil {
			return datastore.Row{}, nil, err
		}
		return row, &held, nil
	}
	return datastore.Row{}, nil, nil
}

// told returns what a resend of the call is told.
func (store *Store) told(req *request.Request, held *record) (*Answer, error) {
	if held.Fingerprint != req.Fingerprint {
		return nil, outcome.New(outcome.ClaimMismatch, "the key was used before with another request")
	}
	if held.Answer == nil {
		return nil, store.open(held)
	}
	if !held.Answer.Kept {
		return nil, outcome.New(outcome.ClaimUnresolved, "the first sending ran to its end and its answer was too large to record")
	}
	return held.Answer, nil
}

// open returns the failure of a resend of a call without a recorded answer.
func (store *Store) open(held *record) error {
	over := !store.clock.Now().Before(held.RunsUntil)
	if held.Daemon == store.settings.Incarnation {
		over = !store.holds(held.Attempt)
	}
	if over || store.settings.Ended(held.Daemon) {
		return outcome.New(outcome.ClaimUnresolved, "the first sending ended without a known answer")
	}
	return outcome.New(outcome.ClaimRunning, "the first sending is still running").WithRetryAfter(time.Second)
}

// unavailable is the refusal of a call that cannot be claimed.
func unavailable(cause error) error {
	return outcome.New(outcome.ClaimUnavailable, "this sending was not run since it cannot be claimed").WithCause(cause).WithRetryAfter(time.Second)
}
