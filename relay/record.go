package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/event"
)

// attemptRecord reports the progress of one attempt to the balancer and the demand counts: its start, its first event
// and its end.
type attemptRecord struct {
	transaction *transaction
	candidate   balance.Candidate
	replicaKey  demand.ReplicaKey
	// sent is when the attempt began.
	sent time.Time
	// begun records at the guard of brittle replicas that the wait is over; nil if the replica is not brittle.
	begun func()
	// activity is that of the replica.
	activity *replicaActivity
	// waitEnded is set once the first event arrived or the attempt ended without one.
	waitEnded bool
	// gaps has the times between events.
	gaps gaps
}

// startRecord records the start of an attempt at the candidate.
func (transaction *transaction) startRecord(candidate balance.Candidate) *attemptRecord {
	record := &attemptRecord{
		transaction: transaction,
		candidate:   candidate,
		replicaKey:  demand.ReplicaKey{Incarnation: candidate.Incarnation, Key: transaction.key()},
		sent:        transaction.relay.deps.Clock.Now(),
		activity:    transaction.relay.activity.begin(candidate.Incarnation),
	}
	if transaction.countsMemory() {
		transaction.relay.memory.Add(candidate.Incarnation, transaction.service.Name, transaction.size())
	}
	transaction.relay.deps.Demand.AddInFlight(record.replicaKey, transaction.criteria.Priority)
	if guard := transaction.relay.deps.Brittle; guard != nil {
		record.begun = guard.Sent(candidate.Incarnation)
	}
	return record
}

// event records the arrival of an event, or of a whole response. A nil record has no effect.
func (attemptRecord *attemptRecord) event() {
	if attemptRecord == nil {
		return
	}
	relay := attemptRecord.transaction.relay
	at := relay.activity.event(attemptRecord.activity)
	if attemptRecord.waitEnded {
		attemptRecord.observeGap(at)
		return
	}
	attemptRecord.gaps.begin(at)
	attemptRecord.endWait(true)
	relay.offerCapacity(attemptRecord.candidate.Incarnation)
	relay.deps.Balancer.ObserveLatency(attemptRecord.candidate.Incarnation, relay.deps.Clock.Since(attemptRecord.sent))
}

// observeGap records the time since the last event, and reports to the balancer what is due.
func (attemptRecord *attemptRecord) observeGap(at time.Duration) {
	target := attemptRecord.transaction.criteria.GapTarget
	balancer := attemptRecord.transaction.relay.deps.Balancer
	mean, late := attemptRecord.gaps.observe(at, target)
	if late {
		balancer.ObserveLatePause(attemptRecord.candidate.Incarnation, target)
	}
	if mean > 0 {
		balancer.ObserveGap(attemptRecord.candidate.Incarnation, mean)
	}
}

// showLife records that the replica has completed the response, so that a connection that it broke meanwhile was no crash. A nil
// record has no effect.
func (attemptRecord *attemptRecord) showLife() {
	if attemptRecord == nil {
		return
	}
	relay := attemptRecord.transaction.relay
	incarnation := CrashOf(attemptRecord.candidate.Incarnation)
	for _, suspect := range relay.deps.Suspects.Lives(incarnation, attemptRecord.sent, relay.deps.Clock.Now()) {
		event.CrashesRetracted.Log("Kind", suspect.Kind, "Fingerprint", suspect.Fingerprint, "Replica", incarnation.Upstream)
	}
}

// finish records the end of the attempt. A nil record has no effect.
func (attemptRecord *attemptRecord) finish() {
	if attemptRecord == nil {
		return
	}
	if !attemptRecord.waitEnded {
		attemptRecord.endWait(false)
	}
	relay, replica := attemptRecord.transaction.relay, attemptRecord.candidate.Incarnation
	if mean := attemptRecord.gaps.rest(); mean > 0 {
		relay.deps.Balancer.ObserveGap(replica, mean)
	}
	relay.activity.end(replica, attemptRecord.activity)
	relay.deps.Demand.RemoveInFlight(attemptRecord.replicaKey)
	if attemptRecord.transaction.countsMemory() {
		relay.memory.Remove(replica, attemptRecord.transaction.size())
	}
	relay.offerCapacity(replica)
}

// endWait records the end of the wait for the first event. begun states whether the event arrived.
func (attemptRecord *attemptRecord) endWait(begun bool) {
	attemptRecord.waitEnded = true
	if attemptRecord.begun != nil {
		attemptRecord.begun()
	}
	relay := attemptRecord.transaction.relay
	relay.deps.Balancer.EndWait(attemptRecord.candidate, attemptRecord.transaction.criteria, relay.deps.Clock.Since(attemptRecord.sent), begun)
	relay.deps.Demand.MarkFirstEvent(attemptRecord.replicaKey, attemptRecord.transaction.criteria.Priority)
}
