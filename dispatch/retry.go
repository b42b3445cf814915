package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
)

// The limits of attempts.
const (
	// maxRun is the largest number of upstreams that may have run one request.
	maxRun = 2
	// maxAttempts is the largest number of attempts, including those that provably did not run.
	maxAttempts = 4
)

// allowRetry reports whether another attempt is allowed, and charges it to the retry budget. If the budget is
// spent, it replaces the failure of a request that provably did not run.
func (handler *handler) allowRetry(ctx context.Context, last *result) bool {
	if last.final || ctx.Err() != nil {
		return false
	}
	if !last.notRun && !handler.repeatable() {
		return false
	}
	if last.notRun && !last.unreachable && handler.last > 0 {
		// The engine refused to resume the stream; other engines cannot resume it either.
		return false
	}
	if handler.ran >= maxRun || handler.attempts >= maxAttempts {
		return false
	}
	if !handler.sink.Begun() && handler.timeLeft() <= 0 {
		return false
	}
	if handler.dispatcher.budget.Spend() {
		return true
	}
	if !handler.mayHaveRun {
		last.failure = outcome.New(outcome.RetriesSpent, "the upstream refused the request and the retry budget is spent").WithRetryAfter(minRetryAfter)
	}
	return false
}

// repeatable reports whether the request may run again after an attempt that may have run.
func (handler *handler) repeatable() bool {
	if !handler.req.Idempotent {
		return false
	}
	if handler.sink.Begun() && !handler.req.Stream {
		return false
	}
	crashes, _ := handler.dispatcher.registry.Crashes(handler.req.Fingerprint, handler.dispatcher.clock.Now())
	return !quarantine.Refused(crashes)
}
