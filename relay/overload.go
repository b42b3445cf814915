package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/admission"
	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// maxLoadInteractive is the number of requests in flight, as a multiple of its slots, up to which a replica sends
	// the first event in time. maxLoadRelaxed is the limit for routes with a latency target of at least relaxedTarget.
	maxLoadInteractive = 2.0
	maxLoadRelaxed     = 3.0
	// maxLoadShort is the limit while requests wait for the model: what waits at the replica keeps its slots taken until news of it
	// arrives, and the order of the rest is decided here.
	maxLoadShort = 1.5
	// relaxedTarget is the latency target from which maxLoadRelaxed applies.
	relaxedTarget = time.Second
	// capacityWaitPart is the fraction of the latency target for which a request waits for a replica with capacity,
	// and capacityPollInterval the interval at which one request of each model checks for capacity that nothing reports.
	capacityWaitPart     = 0.4
	capacityPollInterval = 25 * time.Millisecond
	// retryAfterOverload is the mean Retry-After value if all replicas are overloaded.
	retryAfterOverload = 1200 * time.Millisecond
)

// maxLoad returns the most requests in flight that a replica may have to be chosen, as a multiple of its slots; zero
// means no limit. Above it the first event arrives later than clients expect. Routes with a long latency target
// accept more after a wait. While requests wait for the model, replicas are filled less, and a priority that is served
// more often than a more urgent one, or hardly less, gets free slots only. A stream that has begun may continue at any replica.
func (transaction *transaction) maxLoad(now time.Time) float64 {
	if transaction.service.Engine == nil || transaction.sink.Begun() {
		return 0
	}
	switch transaction.relay.lines.standing(transaction.modelKey(), transaction.priority(), now) {
	case admission.Ahead:
		return freeLoad
	case admission.Behind:
		return maxLoadShort
	}
	if transaction.route.LatencyTarget >= relaxedTarget && now.Sub(transaction.request.Arrived) >= transaction.capacityWait() {
		return maxLoadRelaxed
	}
	if transaction.relay.lines.short(transaction.modelKey()) {
		return maxLoadShort
	}
	return maxLoadInteractive
}

// capacityWait returns how long the request waits for a replica with capacity.
func (transaction *transaction) capacityWait() time.Duration {
	return time.Duration(capacityWaitPart * float64(transaction.route.LatencyTarget))
}

// overloadFailure returns the refusal of a request for which all replicas are overloaded, or nil while it may wait. A begun
// stream may until resumeDeadline.
func (transaction *transaction) overloadFailure(now time.Time) *outcome.Error {
	if transaction.goesOn() || now.Before(transaction.capacityDeadline()) {
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
