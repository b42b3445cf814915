package decider

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/upstream"
)

// observe applies the newest views of engines.
func (term *term) observe() {
	present := map[string]bool{}
	for _, view := range term.decider.deps.Fleet.Views() {
		present[view.State.Upstream] = true
		// A state from before the rows were read may show replicas whose rows have been removed
		// by now.
		if view.AsOf.After(term.recoveredAt) && term.tracker.Observe(view) {
			term.observeView(view)
		}
	}
	term.expireMissing(present)
	term.updateLoads()
}

func (term *term) observeView(view intent.View) {
	name := view.State.Upstream
	for _, replica := range view.State.Replicas {
		if replica.Phase == upstream.Failed {
			continue
		}
		key := intent.ReplicaKey{Upstream: name, Model: replica.Model, Version: replica.Version}
		if !term.hasEntry(key) {
			term.adopt(key, replica)
		}
		_, known := term.lastUsed[key]
		if !known || replica.Phase != upstream.Ready || replica.Running+replica.Waiting > 0 {
			term.lastUsed[key] = term.now
		}
	}
	term.seen[name] = true
}

func (term *term) hasEntry(key intent.ReplicaKey) bool {
	for _, entry := range term.tracker.EntriesOn(key.Upstream) {
		if entry.Intent.Verb == upstream.Load && entry.Key() == key {
			return true
		}
	}
	return false
}

// adopt adds an intent for a replica without a row. Such a replica is expected in three cases:
// on an upstream that is seen for the first time, within the budget of a former holder, and,
// during an outage of this process alone, as a replica of a successor. Otherwise an invariant is
// broken.
func (term *term) adopt(key intent.ReplicaKey, replica upstream.Replica) {
	memory := replica.Memory
	if model, ok := term.catalogue.Model(key.Model); ok {
		memory = model.Memory()
	}
	budget := term.tracker.PermittingFence(key.Model, memory, key.Upstream, term.now)
	invariant.Check(budget > 0 || term.outage || !term.seen[key.Upstream], invariant.ReplicasDecided,
		"Upstream", key.Upstream, "Model", key.Model, "Version", key.Version, "Order", replica.Order)
	row := term.newIntent(upstream.Load, key.Upstream, key.Model, key.Version)
	row.Memory = max(replica.Memory, 0)
	row.Budget = budget
	entry := term.tracker.Add(row, false, term.now)
	term.tracker.Abandon(entry.Intent.ID)
	event.ReplicaAdopted.Log("Upstream", key.Upstream, "Model", key.Model, "Version", key.Version, "Order", replica.Order)
}

// expireMissing treats an upstream as empty once it has been missing from the views for longer
// than the VM list may lag.
func (term *term) expireMissing(present map[string]bool) {
	for _, name := range term.upstreams() {
		if present[name] {
			delete(term.missingSince, name)
			continue
		}
		since, known := term.missingSince[name]
		if !known {
			term.missingSince[name] = term.now
			continue
		}
		if term.now.Sub(since) > term.decider.settings.VMListLag {
			term.markEmpty(name)
		}
	}
}

func (term *term) markEmpty(name string) {
	term.tracker.Observe(intent.View{State: upstream.State{Upstream: name}, AsOf: term.now})
	for _, entry := range term.tracker.EntriesOn(name) {
		term.tracker.Abandon(entry.Intent.ID)
	}
	delete(term.seen, name)
}

// upstreams returns the upstreams that were seen or have intents, sorted by name.
func (term *term) upstreams() []string {
	names := term.tracker.Upstreams()
	for name := range term.seen {
		names = append(names, name)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// updateLoads handles the loads that became ready or ended since the last step.
func (term *term) updateLoads() {
	for _, entry := range term.tracker.Entries() {
		row := entry.Intent
		if row.Verb != upstream.Load {
			continue
		}
		if term.tracker.Status(entry, term.now) == intent.Closed {
			delete(term.lastUsed, entry.Key())
			term.recordFailure(entry)
			continue
		}
		view, _ := term.tracker.View(row.Upstream)
		replica, shown := view.Replica(row.Model, row.Version)
		if shown && replica.Phase == upstream.Ready && entry.Ready.IsZero() {
			term.recordReady(entry)
		}
	}
}

func (term *term) recordReady(entry *intent.Entry) {
	entry.Ready = term.now
	delete(term.failures, entry.Intent.Model)
	model, inForce := term.catalogue.Model(entry.Intent.Model)
	if entry.Attempts == 1 && inForce {
		took := term.now.Sub(entry.Sent)
		term.decider.placer.ObserveLoad(entry.Intent.Tier, model.Weights, took)
		if onLoaded := term.decider.deps.OnLoaded; onLoaded != nil {
			onLoaded(entry.Intent.Tier, model.Weights, took)
		}
	}
}

// recordFailure starts the backoff of a model whose load was accepted and then failed.
func (term *term) recordFailure(entry *intent.Entry) {
	if entry.Verdict != upstream.Accepted || !entry.Ready.IsZero() {
		return
	}
	entry.Ready = term.now
	last := term.failures[entry.Intent.Model]
	backoff := min(minLoadBackoff<<min(last.count, 10), maxLoadBackoff)
	term.failures[entry.Intent.Model] = failure{count: last.count + 1, until: term.now.Add(backoff)}
	event.LoadFailed.Log("Upstream", entry.Intent.Upstream, "Model", entry.Intent.Model, "Order", entry.Intent.ID, "Hold", backoff)
}

// loadBackoff returns the remaining backoff after failed loads of the model, and false if there
// is none.
func (term *term) loadBackoff(model string) (time.Duration, bool) {
	last, failed := term.failures[model]
	if !failed || !term.now.Before(last.until) {
		return 0, false
	}
	return last.until.Sub(term.now), true
}
