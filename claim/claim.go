package claim

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// Claim records that the request is about to be sent. It returns a ticket that permits the attempt; or the
// recorded response of an earlier attempt; or an *outcome.Error of the kind ClaimUnavailable, ClaimRunning,
// ClaimUnresolved or ClaimMismatch. It costs one write, batched with concurrent changes.
func (store *Store) Claim(ctx context.Context, req request.Request) (Ticket, *Response, error) {
	if store.batcher.isUnavailable() {
		return Ticket{}, nil, unavailable(datastore.ErrUnavailable)
	}
	now := store.clock.Now()
	ticket := store.ticket(&req, now)
	insertion := store.insertion(ticket, adjacentKeys(now, keyHash(req.Tenant, req.IdempotencyKey)))
	store.setRunning(ticket.record.Attempt, true)
	store.batcher.add(insertion)
	result, ended := await(ctx, insertion)
	switch {
	case !ended:
		store.releaseUnclear(ticket, insertion)
		return Ticket{}, nil, unavailable(ctx.Err())
	case result.err == nil:
		ticket.version = result.version
		return ticket, nil, nil
	case errors.Is(result.err, datastore.ErrConflict):
		return store.resolveConflict(ctx, &req, ticket)
	default:
		store.releaseUnclear(ticket, nil)
		return Ticket{}, nil, unavailable(result.err)
	}
}

// ticket returns the claim of the request, not yet written.
func (store *Store) ticket(req *request.Request, now time.Time) Ticket {
	return Ticket{
		key: rowKey(bucket(now), keyHash(req.Tenant, req.IdempotencyKey)),
		record: record{
			Fingerprint: req.Fingerprint,
			Attempt:     req.ID,
			Daemon:      store.settings.Incarnation,
			RunsUntil:   now.Add(store.settings.MaxRunTime),
		},
	}
}

// insertion returns the change that inserts the row if none of the adjacent keys has one.
func (store *Store) insertion(ticket Ticket, keys [3]datastore.Key) *change {
	return &change{
		attempt: ticket.record.Attempt,
		writes: []datastore.Write{
			{Key: keys[0], Check: true, Value: ticket.record.encode()},
			{Key: keys[1], Check: true, Only: true},
			{Key: keys[2], Check: true, Only: true},
		},
		applied: func(row datastore.Row, found bool) bool { return found && belongsTo(row, ticket.record.Attempt) },
		done:    make(chan commitResult, 1),
	}
}

// belongsTo reports whether the row is the claim of the attempt.
func belongsTo(row datastore.Row, attempt string) bool {
	existing, err := decode(row.Value)
	return err == nil && existing.Attempt == attempt
}

// await waits for the result of the change, or until the context ends.
func await(ctx context.Context, queued *change) (result commitResult, ended bool) {
	select {
	case result = <-queued.done:
		return result, true
	case <-ctx.Done():
		return commitResult{}, false
	}
}

// resolveConflict handles an insertion that found an existing row. The row may belong to this attempt: an earlier
// try of the same insertion may have been applied although its response was lost.
func (store *Store) resolveConflict(ctx context.Context, req *request.Request, ticket Ticket) (Ticket, *Response, error) {
	row, existing, err := store.find(ctx, req)
	if err != nil {
		store.releaseUnclear(ticket, nil)
		return Ticket{}, nil, unavailable(err)
	}
	if existing != nil && existing.Attempt == ticket.record.Attempt {
		ticket.key, ticket.version = row.Key, row.Version
		return ticket, nil, nil
	}
	store.setRunning(ticket.record.Attempt, false)
	if existing == nil {
		return Ticket{}, nil, outcome.New(outcome.ClaimUnavailable, "the claim changed while it was read").WithRetryAfter(time.Second)
	}
	response, err := store.repeatResult(req, existing)
	return Ticket{}, response, err
}

// Find returns the recorded response of an earlier attempt, or the *outcome.Error for a repeated call without
// one, or nil if there is no claim or it cannot be read. It costs at most two reads, or three near midnight.
func (store *Store) Find(ctx context.Context, req request.Request) (*Response, error) {
	if store.batcher.isUnavailable() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, outageReadTimeout)
		defer cancel()
	}
	_, existing, err := store.find(ctx, &req)
	if err != nil || existing == nil {
		return nil, nil
	}
	return store.repeatResult(&req, existing)
}

// find returns the row and the record of the claim of the key. The record is nil if there is no claim.
func (store *Store) find(ctx context.Context, req *request.Request) (datastore.Row, *record, error) {
	ctx, cancel := context.WithTimeout(ctx, store.settings.Timeout)
	defer cancel()
	for _, key := range keysToRead(store.clock.Now(), keyHash(req.Tenant, req.IdempotencyKey)) {
		row, err := store.tables.Read(ctx, key)
		if errors.Is(err, datastore.ErrNotFound) {
			continue
		}
		if err != nil {
			return datastore.Row{}, nil, err
		}
		existing, err := decode(row.Value)
		if err != nil {
			return datastore.Row{}, nil, err
		}
		return row, &existing, nil
	}
	return datastore.Row{}, nil, nil
}

// repeatResult returns the response or the error for a repeated call.
func (store *Store) repeatResult(req *request.Request, existing *record) (*Response, error) {
	if existing.Fingerprint != req.Fingerprint {
		return nil, outcome.New(outcome.ClaimMismatch, "the key was used before with another request")
	}
	if existing.Answer == nil {
		return nil, store.unfinishedError(existing)
	}
	if !existing.Answer.Kept {
		return nil, outcome.New(outcome.ClaimUnresolved, "the first sending ran to its end and its answer was too large to record")
	}
	return existing.Answer, nil
}

// unfinishedError returns the error for a repeated call whose first attempt has no recorded response. An attempt of
// this daemon runs as long as it is registered; one of another daemon runs until RunsUntil at most.
func (store *Store) unfinishedError(existing *record) error {
	ended := !store.clock.Now().Before(existing.RunsUntil)
	if existing.Daemon == store.settings.Incarnation {
		ended = !store.isRunning(existing.Attempt)
	}
	if ended || store.settings.Ended(existing.Daemon) {
		return outcome.New(outcome.ClaimUnresolved, "the first sending ended without a known answer")
	}
	return outcome.New(outcome.ClaimRunning, "the first sending is still running").WithRetryAfter(time.Second)
}

// unavailable returns the error for a call that cannot be claimed, with its cause.
func unavailable(cause error) error {
	return outcome.New(outcome.ClaimUnavailable, "this sending was not run since it cannot be claimed").WithCause(cause).WithRetryAfter(time.Second)
}
