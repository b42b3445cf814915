package relay

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// availability divides the candidates of a request by whether they may be sent it now.
type availability struct {
	// accepting lists those that may.
	accepting []balance.Candidate
	// limited lists those for whose limit there is no token at hand.
	limited []balance.Candidate
	// resumeAt is the earliest end of a backoff among the others that are not leaving; zero if there is none.
	resumeAt time.Time
}

// availability returns the availability of the candidates according to their notices and limits. isNew states that the
// request was not counted yet as one that the replicas with limits could serve.
func (transaction *transaction) availability(candidates []balance.Candidate, isNew bool, now time.Time) availability {
	notices, limiter := transaction.relay.deps.Notices, transaction.relay.deps.Limiter
	anyLimited := limiter.Limited()
	guarded := transaction.guardsBrittle()
	result := availability{accepting: make([]balance.Candidate, 0, len(candidates))}
	for _, candidate := range candidates {
		if !notices.Accepts(candidate.Incarnation, now) {
			result.addBackoff(transaction.backoffEnd(candidate, now))
			continue
		}
		if guarded {
			if until, ok := transaction.brittleAvailable(candidate, now); !ok {
				result.addBackoff(until)
				continue
			}
		}
		if anyLimited {
			available, limited := limiter.Available(candidate.Incarnation, isNew, now)
			candidate.Reserved = limited
			if !available {
				result.limited = append(result.limited, candidate)
				continue
			}
		}
		result.accepting = append(result.accepting, candidate)
	}
	return result
}

// guardsBrittle reports whether brittle replicas are known and the request may wait for them. A stream that broke off goes on at once,
// and waits if it was rejected.
func (transaction *transaction) guardsBrittle() bool {
	guard := transaction.relay.deps.Brittle
	return guard != nil && (!transaction.sink.Begun() || transaction.sends > transaction.runs) && guard.Any()
}

// brittleAvailable reports whether the candidate may be sent the request without the risk of rejections that it does not bear,
// and from when on it may otherwise.
func (transaction *transaction) brittleAvailable(candidate balance.Candidate, now time.Time) (time.Time, bool) {
	until, ok := transaction.relay.deps.Brittle.Available(candidate.Incarnation, now)
	if !ok && until.IsZero() {
		until = now.Add(capacityPollInterval)
	}
	return until, ok
}

// addBackoff records the end of a backoff; zero means that there is none.
func (availability *availability) addBackoff(until time.Time) {
	if !until.IsZero() && (availability.resumeAt.IsZero() || until.Before(availability.resumeAt)) {
		availability.resumeAt = until
	}
}

// backoffEnd returns the end of the backoff of the candidate; zero if it leaves or is not in backoff.
func (transaction *transaction) backoffEnd(candidate balance.Candidate, now time.Time) time.Time {
	notices := transaction.relay.deps.Notices
	until, inBackoff := notices.BackoffUntil(candidate.Incarnation, now)
	if !inBackoff || notices.Leaving(candidate.Incarnation) {
		return time.Time{}
	}
	return until
}

// backoffFailure returns the refusal of a request if all replicas are in backoff until the given time, or nil if the
// request waits for that. It waits no longer than for a replica with capacity; a begun stream may until resumeDeadline.
func (transaction *transaction) backoffFailure(now, resumeAt time.Time) *outcome.Error {
	if transaction.goesOn() || !resumeAt.After(transaction.capacityDeadline()) {
		return nil
	}
	retryAfter := resumeAt.Sub(now) + transaction.retryJitter()
	total := transaction.deadline.Sub(transaction.request.Arrived)
	if resumeAt.After(transaction.latestSend(total)) {
		return outcome.New(outcome.DeadlineUnmeetable, "all replicas want no request until the deadline").WithRetryAfter(retryAfter)
	}
	return outcome.New(outcome.QueueFull, "all replicas want no request for a while").WithRetryAfter(retryAfter)
}

// waitForToken waits until there is a token for the limit of one of the candidates, and returns that candidate, which
// holds the permit of the transaction. It returns false if the request must be decided anew, because something else has
// changed, and a failure if no token comes in time.
func (transaction *transaction) waitForToken(ctx context.Context, limited []balance.Candidate, now time.Time, changes changes) (balance.Candidate, bool, *outcome.Error) {
	limiter := transaction.relay.deps.Limiter
	replicas := incarnations(limited)
	until := transaction.tokenDeadline(now)
	if failure := transaction.limitFailure(replicas, now, until); failure != nil && !transaction.begunResumable() {
		limiter.Refuse(replicas)
		return balance.Candidate{}, false, failure
	}
	waiter := limiter.Wait(replicas, transaction.priority(), transaction.request.Arrived, now)
	changes.token = waiter.Ready()
	transaction.waitForChange(ctx, until.Sub(now), changes)
	permit, ok := limiter.Leave(waiter)
	if !ok {
		return balance.Candidate{}, false, nil
	}
	transaction.permit = permit
	for _, candidate := range limited {
		if candidate.Incarnation == permit.Replica {
			return candidate, true, nil
		}
	}
	return balance.Candidate{}, false, nil
}

// tokenDeadline returns until when the request waits for a token: as long as for a replica with capacity, longer if its
// model is being loaded elsewhere in time, and until its deadline if its stream has begun, since refusing it would cut
// the stream.
func (transaction *transaction) tokenDeadline(now time.Time) time.Time {
	if transaction.sink.Begun() {
		return transaction.deadline
	}
	if transaction.service.Engine == nil {
		return transaction.capacityDeadline()
	}
	latestSend := transaction.latestSend(transaction.deadline.Sub(transaction.request.Arrived))
	if loaded := transaction.untilLoaded(now); loaded > 0 && now.Add(loaded).Before(latestSend) {
		return latestSend
	}
	return transaction.capacityDeadline()
}

// limitFailure returns the refusal of a request for which no token of the replicas comes until the given time, or nil
// while it may wait.
func (transaction *transaction) limitFailure(replicas []topology.Incarnation, now, until time.Time) *outcome.Error {
	room := transaction.room(replicas, now)
	if now.Before(until) && (now.Add(room).Before(until) || until.After(transaction.capacityDeadline())) {
		return nil
	}
	failure := outcome.New(outcome.QueueFull, "the limit that replica %s named is used up", replicas[0].ID)
	if loaded := transaction.untilLoaded(now); loaded > room {
		return failure.WithRetryAfter(loaded)
	}
	return failure.WithRetryAfter(max(room, retryAfterOverload/2) + transaction.retryJitter())
}

// untilLoaded returns the time until the model is expected to be loaded on another engine; zero if that is unknown.
func (transaction *transaction) untilLoaded(now time.Time) time.Duration {
	if transaction.service.Engine == nil {
		return 0
	}
	ready, known := transaction.forecast()
	if !known {
		return 0
	}
	return max(ready.Sub(now), 0)
}

// room returns the shortest expected time until one of the replicas has a token; zero if it is unknown.
func (transaction *transaction) room(replicas []topology.Incarnation, now time.Time) time.Duration {
	shortest := transaction.relay.deps.Limiter.Room(replicas[0], now)
	for _, replica := range replicas[1:] {
		shortest = min(shortest, transaction.relay.deps.Limiter.Room(replica, now))
	}
	return shortest
}

func incarnations(candidates []balance.Candidate) []topology.Incarnation {
	list := make([]topology.Incarnation, 0, len(candidates))
	for _, candidate := range candidates {
		list = append(list, candidate.Incarnation)
	}
	return list
}
