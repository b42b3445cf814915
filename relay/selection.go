package relay

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// generationReserve is the fraction of the deadline that is kept for the generation after a wait for the model.
	generationReserve = 0.1
	// noForecastPart is the fraction of the deadline for which a request waits for a model without a load forecast.
	noForecastPart = 0.5
	// minFirstEventTimeout, timeoutTargets and timeoutGaps estimate when a client abandons a stream without an event:
	// after the longest of this time, that multiple of the latency target and that multiple of the gap target.
	minFirstEventTimeout = 2 * time.Second
	timeoutTargets       = 4
	timeoutGaps          = 8
	// firstEventReserve is the part of that time that is kept for reading the prompt and for the network.
	firstEventReserve = 120 * time.Millisecond
	// maxLoadInteractive is the number of requests in flight, as a multiple of its slots, up to which a replica sends
	// the first event in time. maxLoadRelaxed is the limit for routes with a latency target of at least relaxedTarget.
	maxLoadInteractive = 2.0
	maxLoadRelaxed     = 3.0
	// relaxedTarget is the latency target from which maxLoadRelaxed applies.
	relaxedTarget = time.Second
	// capacityWaitPart is the fraction of the latency target for which a request waits for a replica with capacity,
	// and capacityPollInterval the interval between checks.
	capacityWaitPart     = 0.4
	capacityPollInterval = 25 * time.Millisecond
	// retryAfterOverload is the mean Retry-After value if all replicas are overloaded.
	retryAfterOverload = 1200 * time.Millisecond
	// plainWait is how long a request to a plain service waits for a first replica to become known.
	plainWait = 100 * time.Millisecond
	// retryAfterCold is the Retry-After value if it is unknown when the model will be loaded.
	retryAfterCold = 2 * time.Second
)

// selectReplica returns the replica for the next attempt. It waits for capacity, or for a model or adapter that no
// replica has loaded, as long as a response within the deadline is possible.
func (transaction *transaction) selectReplica(ctx context.Context) (balance.Candidate, *outcome.Error) {
	criteria := balance.Criteria{
		Zone:              transaction.relay.settings.Zone,
		DaemonIndex:       transaction.relay.daemonIndex(),
		Exclude:           transaction.tried,
		Priority:          priority(transaction.route),
		FirstEventTarget:  transaction.route.LatencyTarget,
		AdmissionQuantile: float64(xxhash.Sum64String(transaction.request.Metadata.ID)) / math.MaxUint64,
	}
	if transaction.service.Engine != nil {
		criteria.Tokens = transaction.request.Metadata.PromptTokens
	}
	waiting, wished := false, false
	begun := transaction.relay.deps.Clock.Now()
	defer func() {
		if waiting {
			transaction.summary.Waited += transaction.relay.deps.Clock.Since(begun)
			transaction.relay.deps.Demand.RemoveWaiting(transaction.key(), transaction.request.Arrived)
		}
	}()
	for {
		changed := transaction.relay.deps.Directory.Changed()
		refusals := transaction.relay.deps.Suspects.Refusals()
		now := transaction.relay.deps.Clock.Now()
		if ctx.Err() != nil {
			return balance.Candidate{}, contextFailure(ctx, false)
		}
		if failure := transaction.quarantineFailure(now); failure != nil {
			return balance.Candidate{}, failure
		}
		available := transaction.availability(transaction.candidates(), !wished, now)
		wished = true
		criteria.MaxLoad = transaction.maxLoad(now)
		if chosen, ok := transaction.choose(available.accepting, criteria, now); ok {
			return chosen, nil
		}
		if len(available.accepting) > 0 {
			if failure := transaction.overloadFailure(now); failure != nil {
				return balance.Candidate{}, failure
			}
			transaction.waitForChange(ctx, capacityPollInterval, changed, refusals, nil)
			continue
		}
		if len(available.limited) > 0 {
			if !waiting && transaction.service.Engine != nil {
				waiting = true
				transaction.startModelWait()
			}
			permitted, ok, failure := transaction.waitForToken(ctx, available.limited, now, changed, refusals)
			if failure != nil {
				return balance.Candidate{}, failure
			}
			if !ok {
				continue
			}
			if chosen, ok := transaction.choosePermitted(permitted, criteria); ok {
				return chosen, nil
			}
			continue
		}
		if resumeAt := available.resumeAt; !resumeAt.IsZero() {
			if failure := transaction.backoffFailure(now, resumeAt); failure != nil {
				return balance.Candidate{}, failure
			}
			transaction.waitForChange(ctx, resumeAt.Sub(now), changed, refusals, nil)
			continue
		}
		until, failure := transaction.waitLimit(now)
		if failure != nil {
			return balance.Candidate{}, failure
		}
		if !waiting {
			waiting = true
			transaction.startModelWait()
		}
		transaction.waitForChange(ctx, until.Sub(now), changed, refusals, nil)
	}
}

// choose returns the best of the candidates, with a permit if it has a limit.
func (transaction *transaction) choose(candidates []balance.Candidate, criteria balance.Criteria, now time.Time) (balance.Candidate, bool) {
	chosen, ok := transaction.relay.deps.Balancer.Choose(candidates, criteria, now)
	if !ok {
		return balance.Candidate{}, false
	}
	permit, ok := transaction.relay.deps.Limiter.Take(chosen.Incarnation, now)
	if !ok {
		transaction.relay.deps.Balancer.Withdraw(chosen, criteria)
		return balance.Candidate{}, false
	}
	transaction.permit = permit
	transaction.recordChoice(chosen, criteria)
	return chosen, true
}

// choosePermitted returns the candidate for which the transaction holds a permit, or gives the permit back if the
// candidate is overloaded.
func (transaction *transaction) choosePermitted(candidate balance.Candidate, criteria balance.Criteria) (balance.Candidate, bool) {
	now := transaction.relay.deps.Clock.Now()
	chosen, ok := transaction.relay.deps.Balancer.Choose([]balance.Candidate{candidate}, criteria, now)
	if !ok {
		transaction.relay.deps.Limiter.Return(transaction.permit, now)
		return balance.Candidate{}, false
	}
	transaction.recordChoice(chosen, criteria)
	return chosen, true
}

// recordChoice keeps what the next attempt and the log need of the choice.
func (transaction *transaction) recordChoice(chosen balance.Candidate, criteria balance.Criteria) {
	transaction.criteria = criteria
	transaction.summary.Replica = chosen.Incarnation
	transaction.summary.InFlight = chosen.InFlight
}

// maxLoad returns the most requests in flight that a replica may have to be chosen, as a multiple of its slots; zero
// means no limit. Above it the first event arrives later than clients expect. Routes with a long latency target
// accept more after a wait. A stream that has begun may continue at any replica.
func (transaction *transaction) maxLoad(now time.Time) float64 {
	if transaction.service.Engine == nil || transaction.sink.Begun() {
		return 0
	}
	if transaction.route.LatencyTarget >= relaxedTarget && now.Sub(transaction.request.Arrived) >= transaction.capacityWait() {
		return maxLoadRelaxed
	}
	return maxLoadInteractive
}

// capacityWait returns how long the request waits for a replica with capacity.
func (transaction *transaction) capacityWait() time.Duration {
	return time.Duration(capacityWaitPart * float64(transaction.route.LatencyTarget))
}

// overloadFailure returns the refusal of a request for which all replicas are overloaded, or nil while it may wait.
func (transaction *transaction) overloadFailure(now time.Time) *outcome.Error {
	if now.Before(transaction.capacityDeadline()) {
		return nil
	}
	return outcome.New(outcome.QueueFull, "all replicas of the model are full").WithRetryAfter(retryAfterOverload/2 + transaction.retryJitter())
}

// capacityDeadline returns until when the request waits for a replica that accepts it.
func (transaction *transaction) capacityDeadline() time.Time {
	wait := transaction.capacityWait()
	if transaction.route.LatencyTarget >= relaxedTarget {
		wait *= 2
	}
	return transaction.request.Arrived.Add(wait)
}

// retryJitter returns the part of a Retry-After value that differs by request, so that clients do not return all at
// once.
func (transaction *transaction) retryJitter() time.Duration {
	return time.Duration(xxhash.Sum64String(transaction.request.Metadata.ID) % uint64(retryAfterOverload))
}

// candidates returns the replicas that can serve the request now.
func (transaction *transaction) candidates() []balance.Candidate {
	if transaction.service.Engine == nil {
		return transaction.relay.deps.Directory.Replicas(transaction.service.Name)
	}
	return transaction.relay.deps.Directory.Holders(transaction.key())
}

// startModelWait reports that the request waits for its model.
func (transaction *transaction) startModelWait() {
	transaction.relay.deps.Demand.AddWaiting(transaction.key(), transaction.request.Arrived)
	event.RequestWaits.Log("Request", transaction.request.Metadata.ID, "Service", transaction.service.Name,
		"Model", transaction.request.Metadata.Model, "Adapter", transaction.request.Metadata.Adapter)
	if transaction.relay.deps.OnModelWait != nil {
		transaction.relay.deps.OnModelWait()
	}
}

// waitForChange waits until the directory changes, the set of refused requests changes, a token is ready, the timeout
// passes or the context ends. Nil channels are ignored.
func (transaction *transaction) waitForChange(ctx context.Context, timeout time.Duration, changed, refusals, token <-chan struct{}) {
	timer := transaction.relay.deps.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changed:
	case <-refusals:
	case <-token:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// waitLimit returns until when the request may wait for a replica, or the failure if it must not wait any longer.
func (transaction *transaction) waitLimit(now time.Time) (time.Time, *outcome.Error) {
	total := transaction.deadline.Sub(transaction.request.Arrived)
	if transaction.service.Engine == nil {
		until := transaction.request.Arrived.Add(plainWait)
		if !now.Before(until) {
			return until, outcome.New(outcome.NoReplica, "no replica of the service is known").WithRetryAfter(retryAfterBusy)
		}
		return until, nil
	}
	model, known := transaction.service.Engine.Models[transaction.request.Metadata.Model]
	if !known {
		return now, outcome.New(outcome.NoReplica, "the service has no such model").WithRetryAfter(retryAfterCold)
	}
	if memory := transaction.service.Engine.Memory; memory > 0 && model.Weights > memory {
		return now, outcome.New(outcome.NoReplica, "the model %s is larger than the memory of an engine", model.Name).WithRetryAfter(retryAfterCold)
	}
	latestSend := transaction.latestSend(total)
	ready, known := transaction.forecast()
	if known && ready.After(latestSend) {
		return latestSend, outcome.New(outcome.DeadlineUnmeetable, "the model will be loaded too late").WithRetryAfter(ready.Sub(now))
	}
	if known {
		return latestSend, waitFailure(now, latestSend)
	}
	noForecastLimit := transaction.request.Arrived.Add(time.Duration(noForecastPart * float64(total)))
	if latestSend.Before(noForecastLimit) {
		noForecastLimit = latestSend
	}
	return noForecastLimit, waitFailure(now, noForecastLimit)
}

// latestSend returns the latest useful time to send the request: before the client abandons a stream without an
// event, and early enough for the generation to finish before the deadline.
func (transaction *transaction) latestSend(total time.Duration) time.Time {
	latestSend := transaction.deadline.Add(-time.Duration(generationReserve * float64(total)))
	if transaction.route.Kind != topology.Streaming {
		return latestSend
	}
	abandonedAfter := max(minFirstEventTimeout, timeoutTargets*transaction.route.LatencyTarget, timeoutGaps*transaction.route.GapTarget)
	if begin := transaction.request.Arrived.Add(abandonedAfter - firstEventReserve); begin.Before(latestSend) {
		return begin
	}
	return latestSend
}

// waitFailure returns the failure of a request that has waited until the given time, or nil before it.
func waitFailure(now, until time.Time) *outcome.Error {
	if now.Before(until) {
		return nil
	}
	return outcome.New(outcome.NoReplica, "the model was not loaded in time").WithRetryAfter(retryAfterCold)
}

// forecast returns when the model, and the adapter if any, is expected to be loaded, and whether that is known.
func (transaction *transaction) forecast() (time.Time, bool) {
	key := transaction.key()
	if ready, known := transaction.relay.deps.Directory.Forecast(key); known {
		return ready, true
	}
	return transaction.relay.deps.Directory.Forecast(demand.Key{Service: key.Service, Model: key.Model})
}
