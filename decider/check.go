package decider

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// checkInvariants checks that the charge of each upstream is at most its capacity and that each
// replica shown by an engine was decided. It checks nothing during an outage, since a successor
// may decide at the same time and the sums of this process are then not those of the data
// centre. Views from before the rows were read are skipped: they do not show whether the
// orders in the rows took effect, so the charge is still too high.
func (term *term) checkInvariants() {
	if term.outage {
		return
	}
	for name := range term.seen {
		view, known := term.tracker.View(name)
		if !known || !view.AsOf.After(term.recoveredAt) {
			continue
		}
		charged := term.tracker.ChargedMemory(name, term.now)
		if charged > view.State.Capacity {
			invariant.Check(false, invariant.MemoryCharged, "Upstream", name, "Charged", charged,
				"Capacity", view.State.Capacity, "Fence", term.fence, "Parts", term.tracker.DescribeCharges(name, term.now))
		}
		for _, replica := range view.State.Replicas {
			key := intent.ReplicaKey{Upstream: name, Model: replica.Model, Version: replica.Version}
			invariant.Check(replica.Phase == upstream.Failed || term.hasEntry(key), invariant.ReplicasDecided,
				"Upstream", name, "Model", replica.Model, "Version", replica.Version)
		}
	}
}

// updateEstimates stores, for each model that requests wait for, when it is expected to serve.
func (term *term) updateEstimates(estimates []placement.LoadEstimate) {
	for _, loadEstimate := range estimates {
		if loadEstimate.Obstacle == placement.NoUpstream && term.hasUnseenEngines() {
			continue
		}
		estimate := Estimate{Known: true, Obstacle: loadEstimate.Obstacle, ReadyIn: loadEstimate.ReadyIn}
		if readyIn, found := term.readyIn(loadEstimate.Model); found {
			estimate.ReadyIn = readyIn
		}
		term.estimates[loadEstimate.Model] = timedEstimate{estimate: estimate, at: term.now}
	}
	for _, demand := range term.totalDemands {
		backoff, backingOff := term.loadBackoff(demand.Model)
		if backingOff {
			term.estimates[demand.Model] = timedEstimate{estimate: Estimate{Known: true, Failed: true, ReadyIn: backoff}, at: term.now}
		}
	}
}

// hasUnseenEngines reports whether engines may exist whose state is not known yet: none is
// listed, or a listed one has not responded since this term began. Until then no model may be
// reported as too large for every engine. It is false once the term is as old as StaleAfter, by
// which time every live engine has responded.
func (term *term) hasUnseenEngines() bool {
	age := term.now.Sub(term.recoveredAt)
	if age >= term.decider.settings.StaleAfter {
		return false
	}
	unseenEngines := term.unseenEngines()
	hasUnseen := len(unseenEngines) > 0 || len(term.seen) == 0
	if hasUnseen && !term.unseenLogged {
		term.unseenLogged = true
		event.UpstreamsUnseen.Log("DataCentre", term.decider.settings.DataCentre, "Fence", term.fence,
			"Unseen", unseenEngines, "Met", len(term.seen), "Age", age)
	}
	return hasUnseen
}

// unseenEngines returns the listed engines that have not responded since this term began, sorted
// by name.
func (term *term) unseenEngines() []string {
	var unseenEngines []string
	for _, view := range term.decider.deps.Fleet.Views() {
		if !term.seen[view.State.Upstream] {
			unseenEngines = append(unseenEngines, view.State.Upstream)
		}
	}
	slices.Sort(unseenEngines)
	return unseenEngines
}

// readyIn returns the expected time until the first decided replica of the model in force
// serves, and false if no such replica is decided.
func (term *term) readyIn(name string) (time.Duration, bool) {
	model, inForce := term.catalogue.Model(name)
	if !inForce {
		return 0, false
	}
	shortest, found := time.Duration(0), false
	for _, entry := range term.tracker.Entries() {
		row := entry.Intent
		if row.Verb != upstream.Load || row.Model != name || row.Version != model.Version {
			continue
		}
		if status := term.tracker.Status(entry, term.now); status != intent.Open && status != intent.Present {
			continue
		}
		left := term.decider.placer.LoadTimes().Time(row.Tier, model.Weights)
		if !entry.Sent.IsZero() {
			left = max(0, left-term.now.Sub(entry.Sent))
		}
		if !found || left < shortest {
			shortest, found = left, true
		}
	}
	return shortest, found
}

func (term *term) status() Status {
	status := Status{
		Deciding: true,
		Fence:    term.fence,
		Outage:   term.outage,
		Slots:    term.slots(),
		Busy:     term.busy(),
		Charged:  map[string]int64{},
	}
	for name := range term.seen {
		status.Charged[name] = term.tracker.ChargedMemory(name, term.now)
	}
	for _, entry := range term.tracker.Entries() {
		if entry.Intent.Verb == upstream.Load && term.tracker.Status(entry, term.now) == intent.Open {
			status.Open++
		}
	}
	return status
}
