package decider

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// pass runs one placement pass over the current state.
func (term *term) pass() placement.Result {
	term.engines = term.engines[:0]
	for _, name := range term.upstreams() {
		term.engines = append(term.engines, term.engine(name))
	}
	decider := term.decider
	busy := term.busy()
	slots := term.slots()
	decider.bucket.SetSlots(slots, term.now)
	return decider.placer.Pass(placement.Input{
		Now:          term.now,
		Upstreams:    term.engines,
		Demands:      term.admittedDemands(),
		WarmTargets:  term.warmTargets(),
		Models:       term.catalogue,
		FreePermits:  decider.bucket.Available(busy, term.now),
		NextPermitIn: decider.bucket.Wait(term.now),
		Assign:       term.assignment,
	})
}

// admittedDemands leaves out the models in backoff after failed loads.
func (term *term) admittedDemands() []placement.ModelDemand {
	admitted := make([]placement.ModelDemand, 0, len(term.totalDemands))
	for _, demand := range term.totalDemands {
		if _, backingOff := term.loadBackoff(demand.Model); !backingOff {
			admitted = append(admitted, demand)
		}
	}
	return admitted
}

func (term *term) engine(name string) placement.Upstream {
	view, _ := term.tracker.View(name)
	fresh := term.now.Sub(view.AsOf) <= term.decider.settings.StaleAfter
	engine := placement.Upstream{
		Name:        name,
		Role:        view.State.Role,
		Capacity:    view.State.Capacity,
		Charged:     term.tracker.ChargedMemory(name, term.now),
		Usable:      fresh && term.seen[name],
		Leaving:     view.State.Leaving,
		Replicas:    term.replicas(name, view),
		Checkpoints: view.State.Checkpoints,
	}
	if term.outage {
		engine.Charged = max(engine.Charged+term.reservedMemory(name), engine.Capacity-term.remainingBudget(name))
	}
	return engine
}

// replicas returns the replicas that the engine shows and those that are decided.
func (term *term) replicas(name string, view intent.View) []placement.Replica {
	var replicas []placement.Replica
	for _, shown := range view.State.Replicas {
		if shown.Phase == upstream.Failed {
			continue
		}
		key := intent.ReplicaKey{Upstream: name, Model: shown.Model, Version: shown.Version}
		replicas = append(replicas, placement.Replica{
			Model:    shown.Model,
			Version:  shown.Version,
			Memory:   shown.Memory,
			Phase:    term.phase(key, shown.Phase),
			Load:     shown.Running + shown.Waiting,
			LastUsed: term.lastUsed[key],
			Pinned:   term.outage && term.isPinned(key, view),
		})
	}
	for _, entry := range term.tracker.EntriesOn(name) {
		if entry.Intent.Verb != upstream.Load || term.tracker.Status(entry, term.now) != intent.Open {
			continue
		}
		replicas = append(replicas, placement.Replica{
			Model:   entry.Intent.Model,
			Version: entry.Intent.Version,
			Memory:  entry.Intent.Memory,
			Phase:   placement.Pending,
		})
	}
	return replicas
}

func (term *term) phase(key intent.ReplicaKey, shown upstream.Phase) placement.Phase {
	switch {
	case shown == upstream.Unloading:
		return placement.BeingUnloaded
	case shown == upstream.Loading:
		return placement.Pending
	case term.isUnloading(key):
		return placement.UnloadOrdered
	default:
		return placement.Serving
	}
}

// isUnloading reports whether an unload of the replica is open.
func (term *term) isUnloading(key intent.ReplicaKey) bool {
	for _, entry := range term.tracker.EntriesOn(key.Upstream) {
		if entry.Intent.Verb == upstream.Unload && entry.Key() == key && term.tracker.Status(entry, term.now) == intent.Open {
			return true
		}
	}
	return false
}

// isPinned reports whether the memory of the replica may not be used for others during an
// outage.
func (term *term) isPinned(key intent.ReplicaKey, view intent.View) bool {
	for _, entry := range term.tracker.EntriesOn(key.Upstream) {
		if !entry.Recorded || entry.Intent.Verb != upstream.Load || entry.Key() != key {
			continue
		}
		if entry.Intent.Sender != term.sender || !view.FencesReliably() {
			return true
		}
	}
	return false
}

// assignment restricts a model to the upstream on which a former holder may still load it.
// During an outage it restricts the model to the upstream on which this term may load it.
func (term *term) assignment(model catalogue.Model) placement.Assignment {
	if term.outage {
		return term.assignmentInOutage(model)
	}
	elsewhere := term.tracker.PermittedUpstreams(model.Name, model.Memory(), max(1, model.MaxReplicas), term.now)
	if len(elsewhere) > 0 {
		return placement.Assignment{Restricted: true, Upstream: elsewhere[0]}
	}
	return placement.Assignment{}
}

// busy returns the number of loads from the weight store that have not provably ended.
func (term *term) busy() int {
	count := term.tracker.OpenLoads(term.now)
	for _, entry := range term.tracker.Entries() {
		row := entry.Intent
		if row.Verb != upstream.Load || row.Tier != upstream.Remote {
			continue
		}
		switch term.tracker.Status(entry, term.now) {
		case intent.Open:
			count++
		case intent.Present:
			view, _ := term.tracker.View(row.Upstream)
			if replica, _ := view.Replica(row.Model, row.Version); replica.Phase == upstream.Loading {
				count++
			}
		}
	}
	return count
}

// slots returns the permits of the data centre, during an outage at most those of the budget.
func (term *term) slots() int {
	slots := term.decider.quota.Slots()
	if term.outage {
		return min(slots, term.budget.Loads)
	}
	return slots
}
