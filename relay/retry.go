package relay

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
)

const (
	// busyRetryDelay is the delay before the next attempt after a replica rejected the request without running it. Beyond
	// maxSends attempts, which only begun streams make, the delay doubles each time, up to longestRetryDelay.
	busyRetryDelay    = 25 * time.Millisecond
	longestRetryDelay = 400 * time.Millisecond
	// minResumeWait is the shortest time after a break for which a begun stream waits for a replica that goes on with it. Clients
	// abandon a stream after a gap of two seconds or more.
	minResumeWait = time.Second
	// maxDoublings is the number of doublings that reach longestRetryDelay.
	maxDoublings = 4
	// budgetPollInterval is the interval at which a begun stream asks for a retry while the budget is empty.
	budgetPollInterval = 50 * time.Millisecond
)

// begunResumable reports whether the client has a part of a stream of a resumable route, which it may take up.
func (transaction *transaction) begunResumable() bool {
	return transaction.sink.Begun() && transaction.route.Resumable
}

// maySendOn reports whether another replica may be sent the request: the client has no part of the response, or one of a resumable
// stream, and the replica can be told where to go on with it.
func (transaction *transaction) maySendOn() bool {
	return !transaction.sink.Begun() || (transaction.route.Resumable && !transaction.reached.unnumbered)
}

// goesOn reports whether the client has a part of a stream that may still go on. Such a stream is not given up for want of a replica
// that takes it now: until resumeDeadline, one may.
func (transaction *transaction) goesOn() bool {
	return transaction.sink.Begun() && transaction.maySendOn() && transaction.relay.deps.Clock.Now().Before(transaction.resumeDeadline())
}

// resumeDeadline returns until when a begun stream waits for a replica that goes on with it. While its replica is alive, that is its
// deadline; after a break it is sooner, so that its client, who may take the stream up at any daemon, still wants it.
func (transaction *transaction) resumeDeadline() time.Time {
	if transaction.brokenAt.IsZero() {
		return transaction.deadline
	}
	until := transaction.brokenAt.Add(transaction.resumeWait())
	if until.After(transaction.deadline) {
		return transaction.deadline
	}
	return until
}

// resumeWait returns how long a stream that broke off waits for a replica that goes on with it.
func (transaction *transaction) resumeWait() time.Duration {
	return max(minResumeWait, stallGaps*transaction.route.GapTarget)
}

// prepareRetry reports whether the request may be retried after the attempt. It spends the retry budget of the
// service, excludes the replica, or marks it as lacking the model, and waits for the delay before the next attempt.
func (transaction *transaction) prepareRetry(ctx context.Context, candidate balance.Candidate, result result) bool {
	if transaction.brokenAt.IsZero() && transaction.sink.Begun() {
		transaction.brokenAt = transaction.relay.deps.Clock.Now()
	}
	if !transaction.mayRetry(ctx, result) {
		if result.reserved {
			transaction.relay.budget(transaction.service.Name).Return()
		}
		return false
	}
	if !result.unsent && !result.reserved && !transaction.withdrawRetry(ctx) {
		return false
	}
	transaction.exclude(candidate, result)
	if delay := transaction.retryDelay(result); delay > 0 {
		transaction.waitForChange(ctx, delay, changes{})
	}
	return true
}

// mayRetry reports whether the request may be sent again after the attempt, if the budget allows it.
func (transaction *transaction) mayRetry(ctx context.Context, result result) bool {
	if ctx.Err() != nil || (transaction.sends >= maxSends && !transaction.goesOn()) {
		return false
	}
	if !transaction.maySendOn() {
		return false
	}
	return result.notRun || (transaction.route.Repeatable() && transaction.runs < transaction.maxRuns)
}

// exclude makes the candidate the last choice for the request, or marks it as lacking the model.
func (transaction *transaction) exclude(candidate balance.Candidate, result result) {
	if result.misdirected {
		transaction.relay.deps.Directory.MarkAbsent(demand.ReplicaKey{Incarnation: candidate.Incarnation, Key: transaction.key()})
		return
	}
	transaction.tried = append(transaction.tried, candidate.Incarnation)
}

// withdrawRetry takes a retry from the budget of the service and reports whether there was one. A begun stream waits for it.
func (transaction *transaction) withdrawRetry(ctx context.Context) bool {
	budget := transaction.relay.budget(transaction.service.Name)
	for !budget.Withdraw() {
		if !transaction.goesOn() || ctx.Err() != nil {
			return false
		}
		transaction.waitForChange(ctx, budgetPollInterval, changes{})
	}
	return true
}

// retryDelay returns the delay before the next attempt.
func (transaction *transaction) retryDelay(result result) time.Duration {
	further := transaction.sends - maxSends
	switch {
	case !result.notRun:
		return 0
	case further < 0 && result.unsent:
		return 0
	case further < 0:
		return busyRetryDelay
	}
	return min(busyRetryDelay<<min(further, maxDoublings), longestRetryDelay)
}
