package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/internal/lifetime"
	"github.com/bronzestall/bronzestall/outcome"
)

// keyed reports whether the request must not run twice under its idempotency key.
func (transaction *transaction) keyed() bool {
	return transaction.req.IdempotencyKey != "" && !transaction.req.Idempotent
}

// claim claims a keyed request before it is sent. done states that the request ended here, with the recorded
// response or a failure.
func (transaction *transaction) claim(ctx context.Context, reservation *reservation) (attemptResult result, done bool) {
	if !transaction.keyed() || transaction.ticket != nil {
		return result{}, false
	}
	limit := transaction.startTimeout(ctx, reservation)
	defer limit.stop()
	ctx = limit.ctx
	if transaction.dispatcher.deps.Claims == nil {
		failure := outcome.New(outcome.ClaimUnavailable, "calls cannot be claimed here")
		return result{failure: failure, notRun: true, final: true}, true
	}
	ticket, response, err := transaction.dispatcher.deps.Claims.Claim(ctx, transaction.req)
	if err != nil {
		return result{failure: outcome.From(err), notRun: true, final: true}, true
	}
	if response != nil {
		return transaction.replay(response), true
	}
	transaction.ticket = &ticket
	transaction.recorder = &recorder{sink: transaction.sink, limit: transaction.dispatcher.settings.MaxRecordedBytes}
	transaction.sink = transaction.recorder
	return result{}, false
}

// attemptContext returns the context of an attempt. A claimed request continues when its caller has disconnected,
// since it may have taken effect and its response is kept for a repeated call. Only the end of a drain cuts it.
func (transaction *transaction) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if transaction.ticket == nil {
		return ctx, func() {}
	}
	ctx, release := lifetime.Join(context.WithoutCancel(ctx), transaction.dispatcher.lifetime)
	ctx, cancel := context.WithTimeout(ctx, transaction.dispatcher.settings.KeyedTimeout)
	return ctx, func() {
		cancel()
		release()
	}
}

// replay sends the recorded response.
func (transaction *transaction) replay(response *claim.Response) result {
	if err := transaction.sendResponse(response.Status, response.ContentType, response.Body); err != nil {
		return result{failure: outcome.New(outcome.CallerGone, "the caller does not take the answer"), final: true}
	}
	return result{}
}

// releaseTimeout bounds how long a refusal waits until its claim is released.
const releaseTimeout = 250 * time.Millisecond

// closeClaim records the end of a claimed request. The response does not wait for the record, but a drain
// does.
func (transaction *transaction) closeClaim(ctx context.Context, failure *outcome.Error) {
	if transaction.ticket == nil {
		return
	}
	claims, ticket := transaction.dispatcher.deps.Claims, *transaction.ticket
	ctx = context.WithoutCancel(ctx)
	switch {
	case failure == nil:
		response := transaction.recorder.response()
		transaction.dispatcher.runInBackground(func() { claims.Complete(ctx, ticket, response) })
	case transaction.mayHaveRun:
		transaction.dispatcher.runInBackground(func() { claims.Lose(ctx, ticket) })
	default:
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		claims.Release(ctx, ticket)
	}
}

// findRecorded looks up an earlier request with the same key and returns its result in place of a failure that
// reports that the request did not run.
func (transaction *transaction) findRecorded(ctx context.Context, failure *outcome.Error) *outcome.Error {
	claims := transaction.dispatcher.deps.Claims
	if !transaction.keyed() || claims == nil || transaction.ticket != nil {
		return failure
	}
	if failure.Kind.Entry().Execution != outcome.NotRun || failure.Kind == outcome.ClaimMismatch {
		return failure
	}
	response, err := claims.Find(ctx, transaction.req)
	if err != nil {
		return outcome.From(err)
	}
	if response == nil {
		return failure
	}
	return transaction.replay(response).failure
}
