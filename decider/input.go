package decider

import (
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// pass runs placement over what is known now.
func (reign *reign) pass() placement.Result {
	reign.machines = reign.machines[:0]
	for _, name := range reign.upstreams() {
		reign.machines = append(reign.machines, reign.machine(name))
	}
	decider := reign.decider
	busy := reign.busy()
	slots := reign.slots()
	decider.bucket.SetSlots(slots, reign.now)
	return decider.placer.Pass(placement.Input{
		Now:       reign.now,
		Upstreams: reign.machines,
		Needs:     reign.admittedNeeds(),
		Warm:      reign.warmWishes(),
		Models:    reign.catalogue,
		Starts:    decider.bucket.Available(busy, reign.now),
		StartsIn:  decider.bucket.Wait(reign.now),
		Assigned:  reign.assigned,
	})
}

// admittedNeeds leaves out the models that are held back after failed loads.
func (reign *reign) admittedNeeds() []placement.Need {
	admitted := make([]placement.Need, 0, len(reign.needs))
	for _, need := range reign.needs {
		if _, held := reign.isHeld(need.Model); !held {
			admitted = append(admitted, need)
		}
	}
	return admitted
}

func (reign *reign) machine(name string) placement.Upstream {
	view, _ := reign.book.View(name)
	fresh := reign.now.Sub(view.AsOf) <= reign.decider.settings.StaleAfter
	machine := placement.Upstream{
		Name:        name,
		Role:        view.State.Role,
		Capacity:    view.State.Capacity,
		Charged:     reign.book.ChargedMemory(name, reign.now),
		Usable:      fresh && reign.met[name],
		Leaving:     view.State.Leaving,
		Replicas:    reign.replicas(name, view),
		Checkpoints: view.State.Checkpoints,
	}
	if reign.away {
		machine.Charged = max(machine.Charged+reign.reserved(name), machine.Capacity-reign.budgetLeft(name))
	}
	return machine
}

// replicas returns the replicas that the engine shows and those that are decided.
func (reign *reign) replicas(name string, view intent.View) []placement.Replica {
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
			Phase:    reign.phase(key, shown.Phase),
			Load:     shown.Running + shown.Waiting,
			LastUsed: reign.uses[key],
			Pinned:   reign.away && reign.isPinned(key, view),
		})
	}
	for _, entry := range reign.book.EntriesOn(name) {
		if entry.Intent.Verb != upstream.Load || reign.book.Status(entry, reign.now) != intent.Open {
			continue
		}
		replicas = append(replicas, placement.Replica{
			Model:   entry.Intent.Model,
			Version: entry.Intent.Version,
			Memory:  entry.Intent.Memory,
			Phase:   placement.Coming,
		})
	}
	return replicas
}

func (reign *reign) phase(key intent.ReplicaKey, shown upstream.Phase) placement.Phase {
	switch {
	case shown == upstream.Unloading:
		return placement.Going
	case shown == upstream.Loading:
		return placement.Coming
	case reign.isUnloading(key):
		return placement.Retiring
	default:
		return placement.Serving
	}
}

// isUnloading reports whether an unload of the replica is open.
func (reign *reign) isUnloading(key intent.ReplicaKey) bool {
	for _, entry := range reign.book.EntriesOn(key.Upstream) {
		if entry.Intent.Verb == upstream.Unload && entry.Key() == key && reign.book.Status(entry, reign.now) == intent.Open {
			return true
		}
	}
	return false
}

// isPinned reports whether nothing else may use the memory of the replica while the table service
// is away.
func (reign *reign) isPinned(key intent.ReplicaKey, view intent.View) bool {
	for _, entry := range reign.book.EntriesOn(key.Upstream) {
		if !entry.Recorded || entry.Intent.Verb != upstream.Load || entry.Key() != key {
			continue
		}
		if entry.Intent.Sender != reign.sender || !view.FencesReliably() {
			return true
		}
	}
	return false
}

// assigned restricts a model to the upstream on which a former holder may still load it, or
// while the table service is away to where this reign may.
func (reign *reign) assigned(model catalogue.Model) placement.Assignment {
	if reign.away {
		return reign.assignedAway(model)
	}
	elsewhere := reign.book.PermittedUpstreams(model.Name, model.Memory(), max(1, model.MaxReplicas), reign.now)
	if len(elsewhere) > 0 {
		return placement.Assignment{Restricted: true, Upstream: elsewhere[0]}
	}
	return placement.Assignment{}
}

// busy returns the number of loads from the weight store that have not provably ended.
func (reign *reign) busy() int {
	count := reign.book.OpenLoads(reign.now)
	for _, entry := range reign.book.Entries() {
		row := entry.Intent
		if row.Verb != upstream.Load || row.Tier != upstream.Remote {
			continue
		}
		switch reign.book.Status(entry, reign.now) {
		case intent.Open:
			count++
		case intent.Present:
			view, _ := reign.book.View(row.Upstream)
			if replica, _ := view.Replica(row.Model, row.Version); replica.Phase == upstream.Loading {
				count++
			}
		}
	}
	return count
}

// slots returns the permits of the data centre, or those of the budget while the table service is away.
func (reign *reign) slots() int {
	slots := reign.decider.division.Slots()
	if reign.away {
		return min(slots, reign.budget.Loads)
	}
	return slots
}
