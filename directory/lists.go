package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// rebuildInterval is the longest time for which lists follow changes only. What an engine holds by its own row or by the holder
// of the lease depends on which of the two is silent, so an engine that does not change is looked at again then.
const rebuildInterval = 5 * time.Second

// listing is what a replica is listed for.
type listing struct {
	replica *topology.Replica
	models  []demand.Key
}

// SetReplicas takes the replicas that take new requests. Its cost grows with those that changed, but for a look at each.
func (directory *Directory) SetReplicas(replicas []topology.Replica) {
	directory.mutex.Lock()
	defer directory.mutex.Unlock()
	if now := directory.clock.Now(); now.Sub(directory.rebuilt) >= rebuildInterval {
		directory.rebuilt = now
		directory.setReplicas(replicas)
		directory.rebuild()
		return
	}
	kept := 0
	for index := range replicas {
		replica := &replicas[index]
		held, known := directory.replicas[replica.ID]
		if known {
			kept++
		}
		if known && sameRow(held, replica) {
			continue
		}
		next := *replica
		directory.replace(held, &next)
	}
	if kept < len(directory.replicas)-(len(replicas)-kept) {
		directory.removeMissing(replicas)
	}
	directory.notifyChanged()
}

// sameRow reports whether both replicas come from the same row, or from rows that say the same.
func sameRow(a, b *topology.Replica) bool {
	return a.Described.Equal(b.Described) && sameCandidate(a, b) && a.Holding.Same(&b.Holding)
}

// sameCandidate reports whether both replicas are the same candidate of their service.
func sameCandidate(a, b *topology.Replica) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Slots == b.Slots
}

// setReplicas takes the replicas as those that are held. The mutex is held.
func (directory *Directory) setReplicas(replicas []topology.Replica) {
	directory.replicas = make(map[string]*topology.Replica, len(replicas))
	for _, replica := range replicas {
		directory.replicas[replica.ID] = &replica
	}
}

// replace lists the next replica in place of the one that was held under its identifier, of which one may be nil. The
// mutex is held.
func (directory *Directory) replace(held, next *topology.Replica) {
	if held != nil {
		directory.unlist(held.Incarnation)
		delete(directory.replicas, held.ID)
	}
	if next != nil {
		directory.replicas[next.ID] = next
		directory.list(next)
	}
	if held != nil && next != nil && sameCandidate(held, next) {
		return
	}
	// Callers keep the lists of plain services, so that a change makes a new one.
	if held != nil {
		directory.byService[held.Service] = slices.DeleteFunc(slices.Clone(directory.byService[held.Service]), func(candidate balance.Candidate) bool {
			return candidate.Incarnation == held.Incarnation
		})
	}
	if next != nil {
		directory.byService[next.Service] = append(slices.Clone(directory.byService[next.Service]), candidate(next))
	}
}

// removeMissing drops the replicas that are not among those. The mutex is held.
func (directory *Directory) removeMissing(replicas []topology.Replica) {
	present := make(map[string]bool, len(replicas))
	for index := range replicas {
		present[replicas[index].ID] = true
	}
	for id, held := range directory.replicas {
		if !present[id] {
			directory.replace(held, nil)
		}
	}
}

// rebuild makes the lists of candidates anew and wakes who waits. The mutex is held.
func (directory *Directory) rebuild() {
	directory.byService = map[string][]balance.Candidate{}
	directory.byModel = map[demand.Key][]modelHolder{}
	directory.listings = make(map[topology.Incarnation]listing, len(directory.replicas))
	for _, id := range slices.Sorted(maps.Keys(directory.replicas)) {
		replica := directory.replicas[id]
		directory.byService[replica.Service] = append(directory.byService[replica.Service], candidate(replica))
		directory.list(replica)
	}
	directory.notifyChanged()
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
		directory.byModel[key] = append(directory.byModel[key], modelHolder{candidate(replica), loaded.Adapters})
		listed.models = append(listed.models, key)
	}
	directory.listings[replica.Incarnation] = listed
}

// unlist takes the replica from the lists of the models that it had. The mutex is held.
func (directory *Directory) unlist(incarnation topology.Incarnation) {
	for _, key := range directory.listings[incarnation].models {
		members := slices.DeleteFunc(directory.byModel[key], func(member modelHolder) bool { return member.Incarnation == incarnation })
		directory.byModel[key] = members
		if len(members) == 0 {
			delete(directory.byModel, key)
		}
	}
	delete(directory.listings, incarnation)
}

// relist lists one replica anew, if it is in use. The mutex is held.
func (directory *Directory) relist(incarnation topology.Incarnation) {
	listed, ok := directory.listings[incarnation]
	if !ok {
		return
	}
	directory.unlist(incarnation)
	directory.list(listed.replica)
}
