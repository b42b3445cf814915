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
	// maxAttempts is the largest number of attempts, including those that provably did not run. A stream that has
	// begun is not bound by it.
	maxAttempts = 4
)

// allowRetry reports whether another attempt is allowed, and charges it to the retry budget, for which a stream that
// has begun waits. If the budget is spent, it replaces the failure of a request that provably did not run.
func (transaction *transaction) allowRetry(ctx context.Context, last *result) bool {
	if last.final || ctx.Err() != nil {
		return false
	}
	if !last.notRun && !transaction.repeatable() {
		return false
	}
	if last.cannotResume && transaction.last > 0 {
		// Other engines know the stream even less.
		return false
	}
	goesOn := transaction.goesOn(ctx)
	if transaction.ran >= maxRun || (transaction.attempts >= maxAttempts && !goesOn) {
		return false
	}
	if !transaction.sink.Begun() && transaction.timeLeft() <= 0 {
		return false
	}
	if goesOn && last.notRun {
		transaction.pauseBroken(ctx)
	}
	if transaction.withdrawRetry(ctx) {
		return true
	}
	if !transaction.mayHaveRun {
		last.failure = outcome.New(outcome.RetriesSpent, "the upstream refused the request and the retry budget is spent").WithRetryAfter(minRetryAfter)
	}
	return false
}

// withdrawRetry takes a retry from the budget and reports whether there was one. A stream that has begun waits for it.
func (transaction *transaction) withdrawRetry(ctx context.Context) bool {
	for !transaction.dispatcher.budget.Withdraw() {
		if !transaction.goesOn(ctx) {
			return false
		}
		transaction.pause(ctx, budgetPollInterval)
	}
	return true
}

// repeatable reports whether the request may run again after an attempt that may have run.
func (transaction *transaction) repeatable() bool {
	if transaction.sink.Begun() && !transaction.req.Stream {
		return false
	}
	return transaction.mayRunTwice()
}

// mayRunTwice reports whether the request is idempotent and not quarantined.
func (transaction *transaction) mayRunTwice() bool {
	if !transaction.req.Idempotent {
		return false
	}
	crashes, _ := transaction.dispatcher.registry.CrashCount(transaction.req.Fingerprint, transaction.dispatcher.clock.Now())
	return !quarantine.Refused(crashes)
}
