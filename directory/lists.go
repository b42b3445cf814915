package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// rebuildEvery is the longest time for which lists follow changes only. What an engine holds by its own row or by the holder
// of the lease depends on which of the two is silent, so an engine that does not change is looked at again then.
const rebuildEvery = 5 * time.Second

// listing is what a replica is listed for.
type listing struct {
	replica *topology.Replica
	models  []demand.Key
}

// SetReplicas takes the replicas that take new requests. Its cost grows with those that changed, but for a look at each.
func (directory *Directory) SetReplicas(replicas []topology.Replica) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if now := directory.clock.Now(); now.Sub(directory.rebuilt) >= rebuildEvery {
		directory.rebuilt = now
		directory.hold(replicas)
		directory.rebuild()
		return
	}
	kept := 0
	for index := range replicas {
		replica := &replicas[index]
		held, known := directory.held[replica.ID]
		if known {
			kept++
		}
		if known && sameRow(held, replica) {
			continue
		}
		next := *replica
		directory.replace(held, &next)
	}
	if kept < len(directory.held)-(len(replicas)-kept) {
		directory.dropOthers(replicas)
	}
	directory.tell()
}

// sameRow reports whether both replicas come from the same row, or from rows that say the same.
func sameRow(a, b *topology.Replica) bool {
	return a.ReceivedAt.Equal(b.ReceivedAt) && sameCandidate(a, b) && a.Holding.SameModels(&b.Holding)
}

// sameCandidate reports whether both replicas are the same candidate of their service.
func sameCandidate(a, b *topology.Replica) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots
}

// hold takes the replicas as those that are held. The mutex is held.
func (directory *Directory) hold(replicas []topology.Replica) {
	directory.held = make(map[string]*topology.Replica, len(replicas))
	for _, replica := range replicas {
		directory.held[replica.ID] = &replica
	}
}

// replace lists the next replica in place of the one that was held under its identifier, of which one may be nil. The
// mutex is held.
func (directory *Directory) replace(held, next *topology.Replica) {
	if held != nil {
		directory.unlist(held.Incarnation)
		delete(directory.held, held.ID)
	}
	if next != nil {
		directory.held[next.ID] = next
		directory.list(next)
	}
	if held != nil && next != nil && sameCandidate(held, next) {
		return
	}
	// Callers keep the lists of plain services, so that a change makes a new one.
	if held != nil {
		directory.plain[held.Service] = slices.DeleteFunc(slices.Clone(directory.plain[held.Service]), func(candidate balance.Candidate) bool {
			return candidate.Incarnation == held.Incarnation
		})
	}
	if next != nil {
		directory.plain[next.Service] = append(slices.Clone(directory.plain[next.Service]), candidate(next))
	}
}

// dropOthers drops the replicas that are not among those. The mutex is held.
func (directory *Directory) dropOthers(replicas []topology.Replica) {
	present := make(map[string]bool, len(replicas))
	for index := range replicas {
		present[replicas[index].ID] = true
	}
	for id, held := range directory.held {
		if !present[id] {
			directory.replace(held, nil)
		}
	}
}

// rebuild makes the lists of candidates anew and wakes who waits. The mutex is held.
func (directory *Directory) rebuild() {
	directory.plain = map[string][]balance.Candidate{}
	directory.engines = map[demand.Key][]member{}
	directory.listed = make(map[topology.Incarnation]listing, len(directory.held))
	for _, id := range slices.Sorted(maps.Keys(directory.held)) {
		replica := directory.held[id]
		directory.plain[replica.Service] = append(directory.plain[replica.Service], candidate(replica))
		directory.list(replica)
	}
	directory.tell()
}

// candidate returns the replica as a candidate.
func candidate(replica *topology.Replica) balance.Candidate {
	return balance.Candidate{
		Incarnation: replica.Incarnation,
		Address:     replica.Address,
		Zone:        replica.Zone,
		Slots:       replica.Slots,
	}
}

// list adds the replica to the lists of the models that it has. The mutex is held.
func (directory *Directory) list(replica *topology.Replica) {
	listed := listing{replica: replica}
	holding := directory.holding(replica)
	for _, loaded := range holding.Models {
		key := demand.Key{Service: replica.Service, Model: loaded.Model}
		directory.engines[key] = append(directory.engines[key], member{candidate(replica), loaded.Adapters})
		listed.models = append(listed.models, key)
	}
	directory.listed[replica.Incarnation] = listed
}

// unlist takes the replica from the lists of the models that it had. The mutex is held.
func (directory *Directory) unlist(incarnation topology.Incarnation) {
	for _, key := range directory.listed[incarnation].models {
		members := slices.DeleteFunc(directory.engines[key], func(member member) bool { return member.Incarnation == incarnation })
		directory.engines[key] = members
		if len(members) == 0 {
			delete(directory.engines, key)
		}
	}
	delete(directory.listed, incarnation)
}

// revise lists one replica anew, if it is in use. The mutex is held.
func (directory *Directory) revise(incarnation topology.Incarnation) {
	listed, ok := directory.listed[incarnation]
	if !ok {
		return
	}
	directory.unlist(incarnation)
	directory.list(listed.replica)
}
