package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/route"
)

// served reports whether a candidate can serve, whatever its load.
func (dispatcher *Dispatcher) served(snapshot Snapshot) bool {
	return dispatcher.router.AnyAvailable(snapshot.Own) || dispatcher.router.AnyAvailable(snapshot.Others)
}

// only reports whether the upstream is the only candidate.
func (snapshot Snapshot) only(name string) bool {
	for _, candidates := range [][]route.Candidate{snapshot.Own, snapshot.Others} {
		for index := range candidates {
			if candidates[index].Upstream != name {
				return false
			}
		}
	}
	return true
}

// pump grants places to waiting requests while there is room. The mutex is held.
func (dispatcher *Dispatcher) pump(lane *lane, snapshot Snapshot) {
	dispatcher.pumpSpecial(lane, snapshot)
	for dispatcher.pumpOne(lane, snapshot) {
		continue
	}
}

// pumpOne grants a place to the first tenant in order whose next request fits. The mutex is held.
func (dispatcher *Dispatcher) pumpOne(lane *lane, snapshot Snapshot) bool {
	full := false
	for _, next := range lane.queue.Heads() {
		if full && !dispatcher.below(lane, snapshot, next) && !dispatcher.modest(lane, snapshot, next.Tenant) {
			continue
		}
		if dispatcher.grant(lane, snapshot, next) {
			return true
		}
		full = full || dispatcher.ordinary(next)
	}
	return false
}

// ordinary reports whether a request without a place tells that there is none for others. The mutex is held.
func (dispatcher *Dispatcher) ordinary(waiting *entry) bool {
	return !dispatcher.bound(waiting) && dispatcher.quarantined(waiting.Item.fingerprint) == nil
}

// bound reports whether the request must go to the upstream where an equal one runs. The mutex is held.
func (dispatcher *Dispatcher) bound(waiting *entry) bool {
	flight, flying := dispatcher.flying[waiting.Item.fingerprint]
	if !flying || dispatcher.proven.Has(waiting.Item.fingerprint) {
		return false
	}
	return dispatcher.clock.Since(flight.since) < holdFor
}

// pumpSpecial grants places to the suspects and second attempts that fit. The mutex is held.
func (dispatcher *Dispatcher) pumpSpecial(lane *lane, snapshot Snapshot) {
	var all []*entry
	lane.special.Each(func(next *entry) bool {
		all = append(all, next)
		return true
	})
	for _, next := range all {
		dispatcher.grant(lane, snapshot, next)
	}
}

// grant gives the waiting request a place if one fits. The mutex is held.
func (dispatcher *Dispatcher) grant(lane *lane, snapshot Snapshot, waiting *entry) bool {
	if dispatcher.quarantined(waiting.Item.fingerprint) != nil {
		return false
	}
	ask := dispatcher.ask(lane, snapshot, waiting)
	if !ask.BelowShare && !ask.BelowShareOnAverage && !waiting.Item.special && dispatcher.capped(lane, snapshot, ask.ReservedSlots) {
		snapshot.Own = nil
	}
	chosen, own, ok := dispatcher.choose(snapshot, ask)
	if !ok {
		return false
	}
	lane.line(waiting).Take(waiting)
	dispatcher.leaveQueue(lane, waiting)
	if lane.target.Model == "" {
		dispatcher.plain[chosen.Upstream] = true
	}
	lane.running++
	if waiting.Item.ask.Suspect {
		lane.suspects++
	}
	lane.tenants[waiting.Tenant]++
	dispatcher.notice(lane, waiting.Tenant)
	dispatcher.fly(waiting.Item.fingerprint, chosen.Upstream)
	now := dispatcher.clock.Now()
	waiting.Item.granted <- grant{place: &place{
		lane:      lane,
		candidate: chosen,
		own:       own,
		sent:      dispatcher.router.StartAttempt(chosen.Upstream, waiting.Item.ask.Suspect),
		since:     now,
		begun:     now,
		cost:      waiting.Cost,
		suspect:   waiting.Item.ask.Suspect,
		tenant:    waiting.Tenant,

		fingerprint:    waiting.Item.fingerprint,
		adapterVersion: waiting.Item.adapterVersion,
	}}
	return true
}

// choose picks a candidate of this data centre, or of another if there is no room here.
func (dispatcher *Dispatcher) choose(snapshot Snapshot, ask route.Requirements) (chosen route.Candidate, own, ok bool) {
	if snapshot.only(ask.Exclude) {
		ask.Exclude = ""
	}
	if index, ok := dispatcher.router.Choose(snapshot.Own, ask); ok {
		return snapshot.Own[index], true, true
	}
	if ask.Suspect && dispatcher.router.AnyAvailable(snapshot.Own) {
		return route.Candidate{}, false, false
	}
	if index, ok := dispatcher.router.Choose(snapshot.Others, ask); ok {
		return snapshot.Others[index], false, true
	}
	return route.Candidate{}, false, false
}

// recheckAfter is the age of a place from which it is checked again before the request is sent.
const recheckAfter = time.Second

// stillServes reports whether the upstream of a place that was granted a while ago still takes work.
func (dispatcher *Dispatcher) stillServes(place *place) bool {
	if dispatcher.clock.Since(place.since) < recheckAfter {
		return true
	}
	snapshot, err := place.lane.look()
	if err != nil {
		return false
	}
	found, ok := snapshot.find(place.candidate.Upstream)
	return ok && !found.Leaving
}

// leavingBound is the time after the first sign from which a leaving upstream gets no work.
const leavingBound = 3 * time.Second

// assertServes asserts that the upstream of a place gets no work after its bound.
func (dispatcher *Dispatcher) assertServes(place *place) {
	since := dispatcher.router.LeavingSince(place.candidate.Upstream)
	bound := since.Add(leavingBound)
	invariant.Check(since.IsZero() || dispatcher.clock.Now().Before(bound), invariant.NoWorkToLeaving, "Upstream", place.candidate.Upstream)
}

// find returns the candidate on the upstream.
func (snapshot Snapshot) find(name string) (route.Candidate, bool) {
	for _, candidates := range [][]route.Candidate{snapshot.Own, snapshot.Others} {
		for index := range candidates {
			if candidates[index].Upstream == name {
				return candidates[index], true
			}
		}
	}
	return route.Candidate{}, false
}

// release gives a place back and grants it to the next. answered states that the answer was complete.
func (dispatcher *Dispatcher) release(place *place, answered bool) {
	place.sent.Done()
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	lane := place.lane
	now := dispatcher.clock.Now()
	lane.running--
	if place.suspect {
		lane.suspects--
	}
	lane.leave(place.tenant)
	dispatcher.notice(lane, place.tenant)
	dispatcher.land(place.fingerprint)
	lane.used = now
	if answered {
		lane.rate.Observe(place.cost, place.begun.Sub(place.since), now.Sub(place.since))
	}
	if lane.waiting() > 0 {
		if snapshot, err := lane.look(); err == nil {
			dispatcher.pump(lane, snapshot)
		}
	}
	dispatcher.report(lane)
}

// report tells the decider what the lane needs. The mutex is held.
func (dispatcher *Dispatcher) report(lane *lane) {
	if lane.target.Model == "" {
		return
	}
	need := Need{Target: lane.target, Waiting: lane.waiting(), Running: lane.running}
	earliest := func(next *entry) bool {
		if need.Deadline.IsZero() || next.Deadline.Before(need.Deadline) {
			need.Deadline = next.Deadline
		}
		return true
	}
	lane.queue.Each(earliest)
	lane.special.Each(earliest)
	dispatcher.deps.Demand.Report(need)
}
