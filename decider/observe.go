package decider

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/upstream"
)

// observe takes the newest views of engines.
func (reign *reign) observe() {
	present := map[string]bool{}
	for _, view := range reign.decider.deps.Fleet.Views() {
		present[view.State.Upstream] = true
		// A state from before the rows were read may show replicas whose rows are closed by now.
		if view.AsOf.After(reign.began) && reign.book.Observe(view) {
			reign.observeView(view)
		}
	}
	reign.forgetMissing(present)
	reign.noteLoads()
}

func (reign *reign) observeView(view intent.View) {
	name := view.State.Upstream
	for _, replica := range view.State.Replicas {
		if replica.Phase == upstream.Failed {
			continue
		}
		key := intent.ReplicaKey{Upstream: name, Model: replica.Model, Version: replica.Version}
		if !reign.hasEntry(key) {
			reign.adopt(key, replica)
		}
		_, known := reign.uses[key]
		if !known || replica.Phase != upstream.Ready || replica.Running+replica.Waiting > 0 {
			reign.uses[key] = reign.now
		}
	}
	reign.met[name] = true
}

func (reign *reign) hasEntry(key intent.ReplicaKey) bool {
	for _, entry := range reign.book.EntriesOn(key.Upstream) {
		if entry.Intent.Verb == upstream.Load && entry.Key() == key {
			return true
		}
	}
	return false
}

// adopt counts a replica without a row as decided. That is expected of an upstream that is seen
// for the first time, of replicas within the budget of a former holder, and of a successor's
// while the table service is away for this process alone.
func (reign *reign) adopt(key intent.ReplicaKey, replica upstream.Replica) {
	memory := replica.Memory
	if model, ok := reign.catalogue.Model(key.Model); ok {
		memory = model.Memory()
	}
	budget := reign.book.PermittingFence(key.Model, memory, key.Upstream, reign.now)
	invariant.Check(budget > 0 || reign.away || !reign.met[key.Upstream], invariant.ReplicasDecided,
		"Upstream", key.Upstream, "Model", key.Model, "Version", key.Version, "Order", replica.Order)
	row := reign.newIntent(upstream.Load, key.Upstream, key.Model, key.Version)
	row.Memory = max(replica.Memory, 0)
	row.Budget = budget
	entry := reign.book.Add(row, false, reign.now)
	reign.book.Abandon(entry.Intent.ID)
	event.ReplicaAdopted.Log("Upstream", key.Upstream, "Model", key.Model, "Version", key.Version, "Order", replica.Order)
}

// forgetMissing takes an upstream as empty once it has been left out of the views for as long as
// the VM list may lag.
func (reign *reign) forgetMissing(present map[string]bool) {
	for _, name := range reign.upstreams() {
		if present[name] {
			delete(reign.missing, name)
			continue
		}
		since, known := reign.missing[name]
		if !known {
			reign.missing[name] = reign.now
			continue
		}
		if reign.now.Sub(since) > reign.decider.settings.ListLag {
			reign.forget(name)
		}
	}
}

func (reign *reign) forget(name string) {
	reign.book.Observe(intent.View{State: upstream.State{Upstream: name}, AsOf: reign.now})
	for _, entry := range reign.book.EntriesOn(name) {
		reign.book.Abandon(entry.Intent.ID)
	}
	delete(reign.met, name)
}

// upstreams returns the upstreams that were seen or that have intents, in order of names.
func (reign *reign) upstreams() []string {
	names := reign.book.Upstreams()
	for name := range reign.met {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// noteLoads learns from loads that have ended since the last step.
func (reign *reign) noteLoads() {
	for _, entry := range reign.book.Entries() {
		row := entry.Intent
		if row.Verb != upstream.Load {
			continue
		}
		if reign.book.Status(entry, reign.now) == intent.Closed {
			delete(reign.uses, entry.Key())
			reign.noteFailure(entry)
			continue
		}
		view, _ := reign.book.View(row.Upstream)
		replica, shown := view.Replica(row.Model, row.Version)
		if shown && replica.Phase == upstream.Ready && entry.Ready.IsZero() {
			reign.noteReady(entry)
		}
	}
}

func (reign *reign) noteReady(entry *intent.Entry) {
	entry.Ready = reign.now
	delete(reign.failures, entry.Intent.Model)
	model, inForce := reign.catalogue.Model(entry.Intent.Model)
	if entry.Attempts == 1 && inForce {
		took := reign.now.Sub(entry.Sent)
		reign.decider.placer.Learn(entry.Intent.Tier, model.Weights, took)
		if loaded := reign.decider.deps.Loaded; loaded != nil {
			loaded(entry.Intent.Tier, model.Weights, took)
		}
	}
}

// noteFailure holds a model back whose load was accepted and then failed.
func (reign *reign) noteFailure(entry *intent.Entry) {
	if entry.Verdict != upstream.Accepted || !entry.Ready.IsZero() {
		return
	}
	entry.Ready = reign.now
	last := reign.failures[entry.Intent.Model]
	hold := min(failureHold<<min(last.count, 10), longestFailureHold)
	reign.failures[entry.Intent.Model] = failure{count: last.count + 1, until: reign.now.Add(hold)}
	event.LoadFailed.Log("Upstream", entry.Intent.Upstream, "Model", entry.Intent.Model, "Order", entry.Intent.ID, "Hold", hold)
}

// isHeld reports whether the model is held back after failed loads, and for how long.
func (reign *reign) isHeld(model string) (time.Duration, bool) {
	last, failed := reign.failures[model]
	if !failed || !reign.now.Before(last.until) {
		return 0, false
	}
	return last.until.Sub(reign.now), true
}
