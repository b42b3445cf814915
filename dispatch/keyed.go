package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/outcome"
)

// keyed reports whether the request must not run twice under its idempotency key.
func (handler *handler) keyed() bool {
	return handler.req.Key != "" && !handler.req.Idempotent
}

// claim claims a keyed request before it is sent. done states that the request ended here, with the recorded
// response or a failure.
func (handler *handler) claim(ctx context.Context, reservation *reservation) (attemptResult result, done bool) {
	if !handler.keyed() || handler.ticket != nil {
		return result{}, false
	}
	limit := handler.startTimeout(ctx, reservation)
	defer limit.stop()
	ctx = limit.ctx
	if handler.dispatcher.deps.Claims == nil {
		failure := outcome.New(outcome.ClaimUnavailable, "calls cannot be claimed here")
		return result{failure: failure, notRun: true, final: true}, true
	}
	ticket, response, err := handler.dispatcher.deps.Claims.Claim(ctx, handler.req)
	if err != nil {
		return result{failure: outcome.From(err), notRun: true, final: true}, true
	}
	if response != nil {
		return handler.replay(response), true
	}
	handler.ticket = &ticket
	handler.recorder = &recorder{sink: handler.sink, limit: handler.dispatcher.settings.MaxRecordedBytes}
	handler.sink = handler.recorder
	return result{}, false
}

// attemptContext returns the context of an attempt. A claimed request continues when its caller is gone, since
// it may have taken effect and its response is kept for a repeated call.
func (handler *handler) attemptContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if handler.ticket == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(context.WithoutCancel(ctx), handler.dispatcher.settings.KeyedTimeout)
}

// replay sends the recorded response.
func (handler *handler) replay(response *claim.Answer) result {
	if err := handler.sendResponse(response.Status, response.ContentType, response.Body); err != nil {
		return result{failure: outcome.New(outcome.CallerGone, "the caller does not take the answer"), final: true}
	}
	return result{}
}

// releaseTimeout bounds how long a refusal waits until its claim is released.
const releaseTimeout = 250 * time.Millisecond

// closeClaim records the end of a claimed request. The response does not wait for the record, but a drain
// does.
func (handler *handler) closeClaim(ctx context.Context, failure *outcome.Error) {
	if handler.ticket == nil {
		return
	}
	claims, ticket := handler.dispatcher.deps.Claims, *handler.ticket
	ctx = context.WithoutCancel(ctx)
	switch {
	case failure == nil:
		response := handler.recorder.response()
		handler.dispatcher.runInBackground(func() { claims.Complete(ctx, ticket, response) })
	case handler.mayHaveRun:
		handler.dispatcher.runInBackground(func() { claims.Lose(ctx, ticket) })
	default:
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		claims.Release(ctx, ticket)
	}
}

// findRecorded looks up an earlier request with the same key and returns its result in place of a failure that
// reports that the request did not run.
func (handler *handler) findRecorded(ctx context.Context, failure *outcome.Error) *outcome.Error {
	claims := handler.dispatcher.deps.Claims
	if !handler.keyed() || claims == nil || handler.ticket != nil {
		return failure
	}
	if failure.Kind.Entry().Word != outcome.NotRun || failure.Kind == outcome.ClaimMismatch {
		return failure
	}
	response, err := claims.Find(ctx, handler.req)
	if err != nil {
		return outcome.From(err)
	}
	if response == nil {
		return failure
	}
	return handler.replay(response).failure
}
