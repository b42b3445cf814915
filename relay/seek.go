package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// acceptTime is the time after which a replica that did not reject the request counts as having accepted it. Full replicas reject
// at once. Until then two replicas may run the request, for which the users' platform leaves 400 ms.
const acceptTime = 150 * time.Millisecond

const (
	// silentGaps multiplies the gap target of a route: a replica is silent once none of its attempts has yielded an event, or a whole
	// response, for longer.
	silentGaps = 2
	// maxDoubtful is the largest number of replicas without attempts of this daemon that one search asks for a sign of life.
	maxDoubtful = 4
)

// maySeek reports whether the request may be sent once more.
func (transaction *transaction) maySeek() bool {
	return transaction.maySendOn() && transaction.runs < transaction.maxRuns && (transaction.sends < maxSends || transaction.goesOn())
}

// seek makes one attempt at another replica than the current one, or at the same if mayRepeat is set, and returns it once it was
// accepted. It returns nil if no replica accepts the request now, or only silent ones could be sent it; the current attempt goes on
// meanwhile.
func (transaction *transaction) seek(ctx context.Context, cancel context.CancelCauseFunc, current topology.Incarnation, mayRepeat bool) *leg {
	budget := transaction.relay.budget(transaction.service.Name)
	if !budget.Withdraw() {
		return nil
	}
	candidate, found := transaction.chooseSuccessor(ctx, current, mayRepeat)
	if !found {
		budget.Return()
		return nil
	}
	same := candidate.Incarnation == current
	opened := transaction.openUntil(ctx, cancel, candidate)
	opened.start()
	if opened.accepted(same) {
		return opened
	}
	result := opened.fail()
	if result.unsent {
		budget.Return()
	}
	transaction.logFailure(candidate, result)
	transaction.exclude(candidate, result)
	return nil
}

// chooseSuccessor chooses a replica that goes on as far as is known, or the current one if mayRepeat is set. It reports false if
// there is none.
func (transaction *transaction) chooseSuccessor(ctx context.Context, current topology.Incarnation, mayRepeat bool) (balance.Candidate, bool) {
	transaction.silent = transaction.silentReplicas(current)
	for range maxDoubtful {
		candidate, failure := transaction.selectReplica(ctx)
		if failure != nil {
			return balance.Candidate{}, false
		}
		same := candidate.Incarnation == current
		// Others are chosen before these, so that there is none.
		last := same || slices.Contains(transaction.silent, candidate.Incarnation)
		if (same && mayRepeat) || (!last && transaction.isAlive(ctx, candidate)) {
			return candidate, true
		}
		transaction.unchoose(candidate)
		if last {
			return balance.Candidate{}, false
		}
		transaction.silent = append(transaction.silent, candidate.Incarnation)
	}
	return balance.Candidate{}, false
}

// isAlive reports whether the candidate, which is not silent, has attempts of this daemon, or has responded to it lately. Otherwise it
// is probed, and a later search knows whether it responds.
func (transaction *transaction) isAlive(ctx context.Context, candidate balance.Candidate) bool {
	relay := transaction.relay
	if relay.deps.Prover == nil || relay.activity.has(candidate.Incarnation) {
		return true
	}
	since := relay.deps.Clock.Now().Add(-transaction.silenceLimit())
	return relay.deps.Prover.Responded(ctx, candidate.Incarnation, since)
}

// seekLent makes one attempt through another daemon, and returns it once that one has accepted the request, as a replica does. It
// returns nil if none accepts it now; the current attempt goes on meanwhile.
func (transaction *transaction) seekLent(ctx context.Context, cancel context.CancelCauseFunc) *leg {
	budget := transaction.relay.budget(transaction.service.Name)
	if !budget.Withdraw() {
		return nil
	}
	opened := transaction.openLent(ctx, cancel)
	opened.start()
	if opened.accepted(false) {
		return opened
	}
	if failed := transaction.endLent(opened); failed.unsent {
		budget.Return()
	}
	// Without a reply the attempt holds nothing but the context, which the search goes on with.
	if opened.reply != nil {
		opened.end()
	}
	return nil
}

// silenceLimit returns the time without an event, or a byte, after which a replica is silent: by the gap target of the route, or by its
// latency target if it has no gap target.
func (transaction *transaction) silenceLimit() time.Duration {
	return cmp.Or(silentGaps*transaction.route.GapTarget, transaction.route.LatencyTarget)
}

// silentReplicas returns the replicas other than the current one that are silent.
func (transaction *transaction) silentReplicas(current topology.Incarnation) []topology.Incarnation {
	silent := transaction.relay.activity.silent(transaction.silenceLimit())
	return slices.DeleteFunc(silent, func(replica topology.Incarnation) bool { return replica == current })
}

// unchoose undoes the choice of a candidate that the request is not sent to.
func (transaction *transaction) unchoose(candidate balance.Candidate) {
	transaction.relay.deps.Limiter.Return(transaction.permit, transaction.relay.deps.Clock.Now())
	transaction.relay.deps.Balancer.Withdraw(candidate, transaction.criteria)
}

// accepted waits until the replica has accepted the request and returns true, or until it has not. The replica of the current
// attempt has accepted it when it responds, any other also when it has not rejected it within acceptTime.
func (leg *leg) accepted(same bool) bool {
	if same {
		<-leg.answered
		return leg.usable()
	}
	timer := leg.transaction.relay.deps.Clock.NewTimer(acceptTime)
	defer timer.Stop()
	select {
	case <-leg.answered:
		return leg.usable()
	case <-timer.C():
		return true
	}
}

// usable reports whether the response to the attempt can be passed on, or can follow what the client has.
func (leg *leg) usable() bool {
	if leg.err != nil || leg.reply.NotRun {
		return false
	}
	if leg.transaction.sink.Begun() {
		return leg.reply.Success() && leg.reply.EventStream
	}
	return leg.reply.Status < http.StatusInternalServerError
}

// fail ends an attempt whose response is not usable.
func (leg *leg) fail() (failed result) {
	defer leg.end()
	defer func() { failed.endedBy = enderOf(leg.ctx) }()
	switch {
	case leg.err != nil:
		return leg.transaction.failAttempt(leg.ctx, leg.candidate, leg.err)
	case leg.reply.NotRun:
		return leg.transaction.rejectAttempt(leg.candidate, leg.reply)
	default:
		return leg.transaction.endResumption(leg.candidate, outcome.UpstreamLost, "the replica failed: "+http.StatusText(leg.reply.Status))
	}
}

// heldSink is the sink of a transaction that seeks a successor: it states whether the client has a part of the response, and takes
// nothing.
type heldSink bool

// Head does nothing.
func (heldSink) Head(int, http.Header, int64) {}

// Write fails.
func (heldSink) Write([]byte) error { return errOvertaken }

// Begun reports whether the client has a part of the response.
func (sink heldSink) Begun() bool { return bool(sink) }
