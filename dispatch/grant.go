package dispatch

import (
	"github.com/bronzestall/bronzestall/route"
)

// canServe reports whether any candidate accepts work, regardless of its load.
func (dispatcher *Dispatcher) canServe(snapshot Snapshot) bool {
	return dispatcher.router.AnyAvailable(snapshot.Local) || dispatcher.router.AnyAvailable(snapshot.Remote)
}

// grantWaiting grants reservations to waiting requests while there is room. The mutex must be held.
func (dispatcher *Dispatcher) grantWaiting(workload *workload, snapshot Snapshot) {
	dispatcher.grantUnordered(workload, snapshot)
	for dispatcher.grantNext(workload, snapshot) {
		continue
	}
}

// grantNext grants a reservation to the first tenant in fair order whose next request fits. It reports whether
// it granted one. The mutex must be held.
func (dispatcher *Dispatcher) grantNext(workload *workload, snapshot Snapshot) bool {
	full := false
	for _, next := range workload.queue.Heads() {
		if full && !dispatcher.belowShare(workload, snapshot, next) && !dispatcher.averageBelowShare(workload, snapshot, next.Tenant) {
			continue
		}
		if dispatcher.grant(workload, snapshot, next) {
			return true
		}
		full = full || dispatcher.meansFull(next)
	}
	return false
}

// meansFull reports whether a failure to grant this request shows that there is no room for others either. The
// mutex must be held.
func (dispatcher *Dispatcher) meansFull(waiting *entry) bool {
	return !dispatcher.isPinned(waiting) && dispatcher.quarantineFailure(waiting.Item.fingerprint) == nil
}

// isPinned reports whether the request must use the upstream on which an equal one runs. The mutex must be
// held.
func (dispatcher *Dispatcher) isPinned(waiting *entry) bool {
	duplicates, inFlight := dispatcher.inFlight[waiting.Item.fingerprint]
	if !inFlight || dispatcher.completed.Has(waiting.Item.fingerprint) {
		return false
	}
	return dispatcher.clock.Since(duplicates.since) < duplicateWait
}

// grantUnordered grants reservations to the suspects and retries that fit. The mutex must be held.
func (dispatcher *Dispatcher) grantUnordered(workload *workload, snapshot Snapshot) {
	var all []*entry
	workload.unordered.Each(func(next *entry) bool {
		all = append(all, next)
		return true
	})
	for _, next := range all {
		dispatcher.grant(workload, snapshot, next)
	}
}

// grant grants the waiting request a reservation if it fits. The mutex must be held.
func (dispatcher *Dispatcher) grant(workload *workload, snapshot Snapshot, waiting *entry) bool {
	if dispatcher.quarantineFailure(waiting.Item.fingerprint) != nil {
		return false
	}
	requirements := dispatcher.requirements(workload, snapshot, waiting)
	if !requirements.BelowShare && !requirements.BelowShareOnAverage && !waiting.Item.unordered && dispatcher.atLimit(workload, snapshot, requirements.ReservedSlots) {
		snapshot.Local = nil
	}
	chosen, local, ok := dispatcher.choose(snapshot, requirements)
	if !ok {
		return false
	}
	workload.queueOf(waiting).Take(waiting)
	dispatcher.leaveQueue(workload, waiting)
	if workload.target.Model == "" {
		dispatcher.plainServices[chosen.Upstream] = true
	}
	workload.running++
	if waiting.Item.requirements.Suspect {
		workload.suspects++
	}
	workload.runningByTenant[waiting.Tenant]++
	dispatcher.recordDemand(workload, waiting.Tenant)
	dispatcher.addDuplicate(waiting.Item.fingerprint, chosen.Upstream)
	now := dispatcher.clock.Now()
	waiting.Item.granted <- grant{reservation: &reservation{
		workload:  workload,
		candidate: chosen,
		local:     local,
		sent:      dispatcher.router.StartAttempt(chosen.Upstream, waiting.Item.requirements.Suspect),
		since:     now,
		begun:     now,
		cost:      waiting.Cost,
		suspect:   waiting.Item.requirements.Suspect,
		tenant:    waiting.Tenant,

		fingerprint:    waiting.Item.fingerprint,
		adapterVersion: waiting.Item.adapterVersion,
	}}
	return true
}

// choose picks a candidate of this data centre, or of another one if there is no room here.
func (dispatcher *Dispatcher) choose(snapshot Snapshot, requirements route.Requirements) (chosen route.Candidate, local, ok bool) {
	if snapshot.isOnlyCandidate(requirements.Exclude) {
		requirements.Exclude = ""
	}
	if index, ok := dispatcher.router.Choose(snapshot.Local, requirements); ok {
		return snapshot.Local[index], true, true
	}
	if requirements.Suspect && dispatcher.router.AnyAvailable(snapshot.Local) {
		return route.Candidate{}, false, false
	}
	if index, ok := dispatcher.router.Choose(snapshot.Remote, requirements); ok {
		return snapshot.Remote[index], false, true
	}
	return route.Candidate{}, false, false
}

// release releases a reservation and grants its slot to the next request. answered states that the response
// was complete.
func (dispatcher *Dispatcher) release(reservation *reservation, answered bool) {
	reservation.sent.Done()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	workload := reservation.workload
	now := dispatcher.clock.Now()
	workload.running--
	if reservation.suspect {
		workload.suspects--
	}
	workload.countEnded(reservation.tenant)
	dispatcher.recordDemand(workload, reservation.tenant)
	dispatcher.removeDuplicate(reservation.fingerprint)
	workload.used = now
	if answered {
		workload.estimator.Observe(reservation.cost, reservation.begun.Sub(reservation.since), now.Sub(reservation.since))
	}
	if workload.waiting() > 0 {
		if snapshot, err := workload.lookup(); err == nil {
			dispatcher.grantWaiting(workload, snapshot)
		}
	}
	dispatcher.report(workload)
}

// report reports the demand of the workload to the decider. The mutex must be held.
func (dispatcher *Dispatcher) report(workload *workload) {
	if workload.target.Model == "" {
		return
	}
	demand := DemandReport{Target: workload.target, Waiting: workload.waiting(), Running: workload.running}
	earliest := func(next *entry) bool {
		if demand.Deadline.IsZero() || next.Deadline.Before(demand.Deadline) {
			demand.Deadline = next.Deadline
		}
		return true
	}
	workload.queue.Each(earliest)
	workload.unordered.Each(earliest)
	dispatcher.deps.Demand.Report(demand)
}
