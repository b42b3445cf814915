package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
)

// The caps on attempts.
const (
	// maxRun is the largest number of upstreams that may have run one request.
	maxRun = 2
	// maxAttempts is the largest number of attempts, with those that provably did not run.
	maxAttempts = 4
)

// again reports whether another attempt may follow, and pays for it. If the budget is spent it
// changes the failure of an attempt that provably did not run.
func (journey *journey) again(ctx context.Context, last *result) bool {
	if last.final || ctx.Err() != nil {
		return false
	}
	if !last.notRun && !journey.repeatable() {
		return false
	}
	if last.notRun && !last.unreachable && journey.last > 0 {
		// An engine that cannot resume says so, and others cannot either.
		return false
	}
	if journey.ran >= maxRun || journey.attempts >= maxAttempts {
		return false
	}
	if !journey.sink.Begun() && journey.left() <= 0 {
		return false
	}
	if journey.dispatcher.budget.Withdraw() {
		return true
	}
	if !journey.mayHaveRun {
		last.failure = outcome.New(outcome.RetriesSpent, "the upstream refused the request and the retry budget is spent").WithRetryAfter(minRetry)
	}
	return false
}

// repeatable reports whether the request may run again after an attempt that may have run.
func (journey *journey) repeatable() bool {
	if !journey.req.Idempotent {
		return false
	}
	if journey.sink.Begun() && !journey.req.Stream {
		return false
	}
	crashes, _ := journey.dispatcher.book.Crashes(journey.req.Fingerprint, journey.dispatcher.clock.Now())
	return !quarantine.Refused(crashes)
}
