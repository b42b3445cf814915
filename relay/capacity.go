package relay

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/admission"
	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// freeLoad is the number of requests in flight, as a multiple of its slots, below which a replica has free slots.
	freeLoad = 1.0
	// recheckPart is the part of its remaining wait after which a waiting request is forecast anew, and minRecheck the shortest interval.
	recheckPart = 0.25
	minRecheck  = 100 * time.Millisecond
	// retryJitterPart is the largest part of a forecast that is added to it as a Retry-After value, and minRetryAfter its least value.
	retryJitterPart = 0.5
	minRetryAfter   = 100 * time.Millisecond
)

// queues reports whether the request waits for capacity in the queue of its model: other requests have no limit of load.
func (selection *selection) queues() bool {
	return selection.criteria.MaxLoad > 0
}

// modelKey returns the model of the request, without its adapter.
func (transaction *transaction) modelKey() demand.Key {
	return demand.Key{Service: transaction.service.Name, Model: transaction.request.Metadata.Model}
}

// isReturned reports whether the request was sent or refused before.
func (transaction *transaction) isReturned(now time.Time) bool {
	return transaction.sends > 0 || transaction.relay.lines.returned(transaction.refusalKey(), now)
}

// refusalKey identifies the request among refused ones: by content and account, since the requests of other accounts may be equal.
func (transaction *transaction) refusalKey() uint64 {
	return transaction.causes.Request ^ xxhash.Sum64String(transaction.request.AccountName())
}

// mayTry reports whether the request may take capacity now: one that waits has to have the turn, and a new one overtakes none of its
// priority or a more urgent one.
func (selection *selection) mayTry(now time.Time) bool {
	switch {
	case !selection.queues():
		return true
	case selection.entry != nil:
		return selection.relay.lines.hasTurn(selection.modelKey(), selection.entry, now)
	default:
		return !selection.relay.lines.blocks(selection.modelKey(), selection.priority(), selection.isReturned(now))
	}
}

// admitted records that the request found a replica.
func (selection *selection) admitted(now time.Time) {
	if selection.queues() {
		selection.countWait(now)
		selection.relay.lines.start(selection.modelKey(), selection.entry, selection.priority(), now)
		selection.entry = nil
	}
}

// leaveLine removes the request from the queue of its model, if it is there.
func (selection *selection) leaveLine(now time.Time) {
	if selection.entry != nil {
		selection.countWait(now)
		selection.relay.lines.leave(selection.modelKey(), selection.entry, now)
		selection.entry = nil
	}
}

// countWait counts the time that the request waited for capacity, if it did.
func (selection *selection) countWait(now time.Time) {
	if selection.entry == nil {
		return
	}
	waited := now.Sub(selection.joined)
	selection.summary.Waited += waited
	selection.waited += waited
	selection.relay.lines.waits.Add(1)
	selection.relay.lines.waited.Add(int64(waited))
}

// newEntry returns the entry of the request in the queue of its model.
func (selection *selection) newEntry(now time.Time) *admission.Entry {
	entry := admission.Entry{
		Priority: selection.priority(),
		Returned: selection.isReturned(now),
		StartBy:  selection.request.Arrived.Add(selection.capacityWait()),
		Account:  selection.request.AccountName(),
		Tokens:   selection.request.Metadata.PromptTokens,
		Arrived:  selection.request.Arrived,
	}
	if account := selection.request.Account; account != nil && account.Quota.Limited() {
		// The number of such requests per second is comparable between accounts with different units.
		entry.Share = account.Quota.PerSecond / max(cost(account, selection.request), 1)
	}
	return admission.NewEntry(entry)
}

// waitForCapacity waits until the request has the turn to try again, or returns why it must not wait any longer. A request that must
// not wait still takes a free slot.
func (selection *selection) waitForCapacity(ctx context.Context, candidates []balance.Candidate, now time.Time, changes changes) (balance.Candidate, bool, *outcome.Error) {
	if !selection.queues() {
		if failure := selection.overloadFailure(now); failure != nil {
			return balance.Candidate{}, false, failure
		}
		selection.waitForChange(ctx, capacityPollInterval, changes)
		return balance.Candidate{}, false, nil
	}
	entry := selection.entry
	if entry == nil {
		entry = selection.newEntry(now)
	}
	forecast := selection.relay.lines.forecast(selection.modelKey(), entry, now)
	until, failure := selection.admissionFailure(forecast, now)
	if failure != nil {
		if chosen, ok := selection.chooseFree(candidates, now); ok {
			return chosen, true, nil
		}
		selection.refuse(forecast, now)
		return balance.Candidate{}, false, failure
	}
	if selection.entry == nil {
		selection.entry, selection.joined = entry, now
		selection.relay.lines.join(selection.modelKey(), entry, now)
	}
	selection.waitForTurn(ctx, candidates, until, now, changes)
	return balance.Candidate{}, false, nil
}

// refuse records that the request with the forecast is refused for want of capacity.
func (selection *selection) refuse(forecast admission.Forecast, now time.Time) {
	lines, key := selection.relay.lines, selection.modelKey()
	lines.remember(selection.refusalKey(), now)
	cause := RefusedAtOnce
	if selection.entry != nil {
		cause = RefusedAfterWait
	}
	if refused, waiting := lines.refuse(key, selection.priority(), cause, now); refused > 0 {
		event.CapacityShort.Log("Service", key.Service, "Model", key.Model, "Refused", refused, "Waiting", waiting, "Priority", selection.priority(),
			"Ahead", forecast.Ahead, "Wait", forecast.Wait, "Measured", forecast.Known)
	}
}

// waitForTurn passes the turn on, if the request has it, and waits for the next one, or until the forecast is to be repeated.
func (selection *selection) waitForTurn(ctx context.Context, candidates []balance.Candidate, until, now time.Time, changes changes) {
	lines, key := selection.relay.lines, selection.modelKey()
	polls := lines.pass(key, selection.entry, candidates, now)
	left := until.Sub(now)
	timeout := min(left, max(time.Duration(recheckPart*float64(left)), minRecheck))
	if polls {
		timeout = min(timeout, capacityPollInterval)
	} else {
		// The request that polls leaves the queue if there is no replica any more, which gives this one the turn.
		changes.directory = nil
	}
	changes.turn = selection.entry.Turn()
	selection.waitForChange(ctx, timeout, changes)
	if now := selection.relay.deps.Clock.Now(); polls && !lines.hasTurn(key, selection.entry, now) {
		lines.offer(key, now)
	}
}

// admissionFailure returns until when the request with the forecast may wait for capacity, or the refusal if it must not wait: it will
// not be served in time.
func (selection *selection) admissionFailure(forecast admission.Forecast, now time.Time) (time.Time, *outcome.Error) {
	until := selection.admissionDeadline(forecast)
	if now.Before(until) && forecast.InTime(now, until) {
		return until, nil
	}
	failure := outcome.New(outcome.QueueFull, "all replicas of the model are full")
	if !forecast.Known {
		return until, failure.WithRetryAfter(retryAfterOverload/2 + selection.retryJitter())
	}
	return until, failure.WithRetryAfter(selection.spread(forecast.Wait))
}

// admissionDeadline returns until when the request waits for capacity. If the queue does not move, and if the request is urgent, that is
// capacityDeadline; otherwise it is as long as a late response is of use.
func (selection *selection) admissionDeadline(forecast admission.Forecast) time.Time {
	if !forecast.Moving || selection.route.LatencyTarget < relaxedTarget {
		return selection.capacityDeadline()
	}
	return selection.latestSend(selection.deadline.Sub(selection.request.Arrived))
}

// spread returns the Retry-After value for capacity that is expected after the wait. It differs by request.
func (transaction *transaction) spread(wait time.Duration) time.Duration {
	quantile := transaction.criteria.AdmissionQuantile
	return max(time.Duration((1+retryJitterPart*quantile)*float64(wait)), minRetryAfter+time.Duration(quantile*float64(minRetryAfter)))
}

// chooseFree returns a candidate with a free slot, whatever the expected wait there.
func (selection *selection) chooseFree(candidates []balance.Candidate, now time.Time) (balance.Candidate, bool) {
	before := selection.criteria
	selection.criteria.MaxLoad, selection.criteria.FirstEventTarget = freeLoad, 0
	chosen, ok := selection.choose(selection.offered(candidates, now), now)
	selection.criteria.MaxLoad, selection.criteria.FirstEventTarget = before.MaxLoad, before.FirstEventTarget
	if !ok {
		return balance.Candidate{}, false
	}
	selection.admitted(now)
	return chosen, true
}

// offered returns the candidates that may be offered the request: those that rejected others lately are offered fewer, and the memory
// of engines must not run out.
func (selection *selection) offered(candidates []balance.Candidate, now time.Time) []balance.Candidate {
	relay := selection.relay
	if !selection.queues() || (!relay.ceilings.Any() && selection.service.Engine.CacheTokens <= 0) {
		return candidates
	}
	inFlight := relay.deps.Balancer.InFlight(candidates)
	offered := make([]balance.Candidate, 0, len(candidates))
	for index, candidate := range candidates {
		room := admission.Room{Capacity: selection.service.Engine.CacheTokens, Slots: candidate.Slots, InFlight: inFlight[index]}
		if relay.ceilings.Admits(candidate.Incarnation, room.InFlight, room.Slots, now) && relay.memory.Fits(candidate.Incarnation, selection.service.Name, selection.size(), room) {
			offered = append(offered, candidate)
		}
	}
	return offered
}

// lowerCeiling records that the candidate rejected the request.
func (transaction *transaction) lowerCeiling(candidate balance.Candidate) {
	if transaction.relay.ceilings.Rejected(candidate.Incarnation, candidate.InFlight, transaction.relay.deps.Clock.Now()) {
		event.ReplicaOffered.Log("Replica", candidate.ID, "Born", candidate.Started, "InFlight", candidate.InFlight)
	}
}

// size returns the tokens that the request needs in the memory of an engine, at most.
func (transaction *transaction) size() int {
	return transaction.request.Metadata.PromptTokens + transaction.request.Metadata.OutputTokens
}

// countsMemory reports whether the memory of the engines is known, so that what requests need of it is counted.
func (transaction *transaction) countsMemory() bool {
	return transaction.service.Engine != nil && transaction.service.Engine.CacheTokens > 0
}

// offerCapacity lets waiting requests try, since the replica may have capacity.
func (relay *Relay) offerCapacity(replica topology.Incarnation) {
	if relay.lines.waiting.Load() > 0 {
		relay.lines.offerReplica(replica, relay.deps.Clock.Now())
	}
}

// CapacityChanged states that replicas may have capacity that this daemon did not know of.
func (relay *Relay) CapacityChanged() {
	relay.lines.offerAll(relay.deps.Clock.Now())
}
