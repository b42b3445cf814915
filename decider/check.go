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

// check asserts that no more is charged than there is and that no engine shows more replicas
// of a model than were decided. While the table service is away for this process a successor may
// decide, too, and the sums of this process are not those of the data centre. A view from before
// the rows were read proves nothing of them, so their charge is still too high.
func (reign *reign) check() {
	if reign.away {
		return
	}
	for name := range reign.met {
		view, known := reign.book.View(name)
		if !known || !view.AsOf.After(reign.began) {
			continue
		}
		charged := reign.book.ChargedMemory(name, reign.now)
		if charged > view.State.Capacity {
			invariant.Check(false, invariant.MemoryCharged, "Upstream", name, "Charged", charged,
				"Capacity", view.State.Capacity, "Fence", reign.fence, "Parts", reign.book.DescribeCharges(name, reign.now))
		}
		for _, replica := range view.State.Replicas {
			key := intent.ReplicaKey{Upstream: name, Model: replica.Model, Version: replica.Version}
			invariant.Check(replica.Phase == upstream.Failed || reign.hasEntry(key), invariant.ReplicasDecided,
				"Upstream", name, "Model", replica.Model, "Version", replica.Version)
		}
	}
}

// noteOutlooks keeps for each model that requests wait for when it is expected to serve.
func (reign *reign) noteOutlooks(outlooks []placement.Outlook) {
	for _, outlook := range outlooks {
		if outlook.Obstacle == placement.NoUpstream && reign.isBlind() {
			continue
		}
		estimate := Estimate{Known: true, Obstacle: outlook.Obstacle, ReadyIn: outlook.ReadyIn}
		if remaining, coming := reign.remaining(outlook.Model); coming {
			estimate.ReadyIn = remaining
		}
		reign.outlooks[outlook.Model] = outlookAt{estimate: estimate, at: reign.now}
	}
	for _, need := range reign.needs {
		hold, held := reign.isHeld(need.Model)
		if held {
			reign.outlooks[need.Model] = outlookAt{estimate: Estimate{Known: true, Failed: true, ReadyIn: hold}, at: reign.now}
		}
	}
}

// isBlind reports whether engines may be there of which nothing is known yet, so that nothing can be said of what none of
// them can hold: none is listed, or one did not answer since this reign began. It ends after StaleAfter, by when an engine
// that lives has answered.
func (reign *reign) isBlind() bool {
	age := reign.now.Sub(reign.began)
	if age >= reign.decider.settings.StaleAfter {
		return false
	}
	unseen := reign.unseen()
	blind := len(unseen) > 0 || len(reign.met) == 0
	if blind && !reign.blindLogged {
		reign.blindLogged = true
		event.UpstreamsUnseen.Log("DataCentre", reign.decider.settings.DataCentre, "Fence", reign.fence,
			"Unseen", unseen, "Met", len(reign.met), "Age", age)
	}
	return blind
}

// unseen returns the listed engines that did not answer since this reign began, in order of names.
func (reign *reign) unseen() []string {
	var unseen []string
	for _, view := range reign.decider.deps.Fleet.Views() {
		if !reign.met[view.State.Upstream] {
			unseen = append(unseen, view.State.Upstream)
		}
	}
	slices.Sort(unseen)
	return unseen
}

// remaining returns the expected time until the first replica on its way serves.
func (reign *reign) remaining(name string) (time.Duration, bool) {
	model, inForce := reign.catalogue.Model(name)
	if !inForce {
		return 0, false
	}
	shortest, coming := time.Duration(0), false
	for _, entry := range reign.book.Entries() {
		row := entry.Intent
		if row.Verb != upstream.Load || row.Model != name || row.Version != model.Version {
			continue
		}
		if status := reign.book.Status(entry, reign.now); status != intent.Open && status != intent.Present {
			continue
		}
		left := reign.decider.placer.Tiers().Time(row.Tier, model.Weights)
		if !entry.Sent.IsZero() {
			left = max(0, left-reign.now.Sub(entry.Sent))
		}
		if !coming || left < shortest {
			shortest, coming = left, true
		}
	}
	return shortest, coming
}

func (reign *reign) status() Status {
	status := Status{
		Deciding: true,
		Fence:    reign.fence,
		Away:     reign.away,
		Slots:    reign.slots(),
		Busy:     reign.busy(),
		Charged:  map[string]int64{},
	}
	for name := range reign.met {
		status.Charged[name] = reign.book.ChargedMemory(name, reign.now)
	}
	for _, entry := range reign.book.Entries() {
		if entry.Intent.Verb == upstream.Load && reign.book.Status(entry, reign.now) == intent.Open {
			status.Open++
		}
	}
	return status
}
