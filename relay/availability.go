package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/outcome"
)

// acceptingReplicas returns the candidates that accept requests according to their notices. It also returns the
// earliest end of a backoff among the other candidates that are not leaving; zero if there is none.
func (transaction *transaction) acceptingReplicas(candidates []balance.Candidate, now time.Time) ([]balance.Candidate, time.Time) {
	notices := transaction.relay.deps.Notices
	var resumeAt time.Time
	accepting := make([]balance.Candidate, 0, len(candidates))
	for _, candidate := range candidates {
		if notices.Accepts(candidate.Incarnation, now) {
			accepting = append(accepting, candidate)
			continue
		}
		until, inBackoff := notices.BackoffUntil(candidate.Incarnation, now)
		if inBackoff && !notices.Leaving(candidate.Incarnation) && (resumeAt.IsZero() || until.Before(resumeAt)) {
			resumeAt = until
		}
	}
	return accepting, resumeAt
}

// backoffFailure returns the refusal of a request if all replicas are in backoff until the given time, or nil if the
// request waits for that. It waits no longer than for a replica with capacity.
func (transaction *transaction) backoffFailure(now, resumeAt time.Time) *outcome.Error {
	if !resumeAt.After(transaction.capacityDeadline()) {
		return nil
	}
	retryAfter := resumeAt.Sub(now) + transaction.retryJitter()
	total := transaction.deadline.Sub(transaction.request.Arrived)
	if resumeAt.After(transaction.latestSend(total)) {
		return outcome.New(outcome.DeadlineUnmeetable, "all replicas want no request until the deadline").WithRetryAfter(retryAfter)
	}
	return outcome.New(outcome.QueueFull, "all replicas want no request for a while").WithRetryAfter(retryAfter)
}
