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
func (transaction *transaction) allowRetry(ctx context.Context, last *result) bool {
	if last.final || ctx.Err() != nil {
		return false
	}
	if !last.notRun && !transaction.repeatable() {
		return false
	}
	if last.notRun && !last.unreachable && transaction.last > 0 {
		// The engine refused to resume the stream; other engines cannot resume it either.
		return false
	}
	if transaction.ran >= maxRun || transaction.attempts >= maxAttempts {
		return false
	}
	if !transaction.sink.Begun() && transaction.timeLeft() <= 0 {
		return false
	}
	if transaction.dispatcher.budget.Withdraw() {
		return true
	}
	if !transaction.mayHaveRun {
		last.failure = outcome.New(outcome.RetriesSpent, "the upstream refused the request and the retry budget is spent").WithRetryAfter(minRetryAfter)
	}
	return false
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
