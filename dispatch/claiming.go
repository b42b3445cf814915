package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/outcome"
)

// keyed reports whether the request must not run twice under its key.
func (journey *journey) keyed() bool {
	return journey.req.IdempotencyKey != "" && !journey.req.Idempotent
}

// claim claims a keyed request before it is sent. done states that the request ended here, with the
// recorded answer or a failure.
func (journey *journey) claim(ctx context.Context, place *place) (ending result, done bool) {
	if !journey.keyed() || journey.ticket != nil {
		return result{}, false
	}
	limit := journey.startLimit(ctx, place)
	defer limit.stop()
	ctx = limit.ctx
	if journey.dispatcher.deps.Claims == nil {
		failure := outcome.New(outcome.ClaimUnavailable, "calls cannot be claimed here")
		return result{failure: failure, notRun: true, final: true}, true
	}
	ticket, answer, err := journey.dispatcher.deps.Claims.Claim(ctx, journey.req)
	if err != nil {
		return result{failure: outcome.From(err), notRun: true, final: true}, true
	}
	if answer != nil {
		return journey.replay(answer), true
	}
	journey.ticket = &ticket
	journey.recorder = &recorder{sink: journey.sink, limit: journey.dispatcher.settings.RecordBytes}
	journey.sink = journey.recorder
	return result{}, false
}

// outlive returns the context of an attempt. A claimed request goes on when its caller is gone, since it may have
// taken effect and its answer is kept for the resend.
func (journey *journey) outlive(ctx context.Context) (context.Context, context.CancelFunc) {
	if journey.ticket == nil {
		return ctx, func() {}
	}
	return context.WithTimeout(context.WithoutCancel(ctx), journey.dispatcher.settings.KeyedLimit)
}

// replay sends the recorded answer.
func (journey *journey) replay(answer *claim.Answer) result {
	if err := journey.whole(answer.Status, answer.ContentType, answer.Body); err != nil {
		return result{failure: outcome.New(outcome.CallerGone, "the caller does not take the answer"), final: true}
	}
	return result{}
}

// releaseTimeout bounds how long a refusal waits until its claim is given up.
const releaseTimeout = 250 * time.Millisecond

// settle records the end of a claimed request. Answers do not wait for it; a drain does.
func (journey *journey) settle(ctx context.Context, failure *outcome.Error) {
	if journey.ticket == nil {
		return
	}
	claims, ticket := journey.dispatcher.deps.Claims, *journey.ticket
	ctx = context.WithoutCancel(ctx)
	switch {
	case failure == nil:
		answer := journey.recorder.answer()
		journey.dispatcher.behind(func() { claims.Complete(ctx, ticket, answer) })
	case journey.mayHaveRun:
		journey.dispatcher.behind(func() { claims.Lose(ctx, ticket) })
	default:
		ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		claims.Release(ctx, ticket)
	}
}

// earlier returns what an earlier sending with the same key came to, in place of a refusal that says
// that the request did not run.
func (journey *journey) earlier(ctx context.Context, failure *outcome.Error) *outcome.Error {
	claims := journey.dispatcher.deps.Claims
	if !journey.keyed() || claims == nil || journey.ticket != nil {
		return failure
	}
	if failure.Kind.Entry().Word != outcome.NotRun || failure.Kind == outcome.ClaimMismatch {
		return failure
	}
	answer, err := claims.Find(ctx, journey.req)
	if err != nil {
		return outcome.From(err)
	}
	if answer == nil {
		return failure
	}
	return journey.replay(answer).failure
}
