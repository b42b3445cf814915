package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// rebuildInterval is the longest time for which lists are only updated incrementally. Whether the row or the
// announcement determines what an engine holds depends on which of the two is still updated, so an engine
// without changes must be checked again after this time.
const rebuildInterval = 5 * time.Second

// listing is a replica with the models under which it is listed.
type listing struct {
	replica *topology.Replica
	models  []demand.Key
}

// SetReplicas sets the replicas that accept new requests. It compares each with its previous state, and
// otherwise its cost is proportional to the number of changed replicas.
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
		previous, known := directory.replicas[replica.ID]
		if known {
			kept++
		}
		if known && sameRow(previous, replica) {
			continue
		}
		next := *replica
		directory.replace(previous, &next)
	}
	if kept < len(directory.replicas)-(len(replicas)-kept) {
		directory.removeMissing(replicas)
	}
	directory.notifyChanged()
}

// sameRow reports whether both replicas come from the same row, or from rows with equal content and time of
// receipt.
func sameRow(a, b *topology.Replica) bool {
	return a.ReceivedAt.Equal(b.ReceivedAt) && sameCandidate(a, b) && a.Holding.SameModels(&b.Holding)
}

// sameCandidate reports whether both replicas are the same candidate of their service.
func sameCandidate(a, b *topology.Replica) bool {
	return a.Incarnation == b.Incarnation && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone && a.Release == b.Release && a.Slots == b.Slots
}

// setReplicas sets the replicas without updating the lists. The caller holds the mutex.
func (directory *Directory) setReplicas(replicas []topology.Replica) {
	directory.replicas = make(map[string]*topology.Replica, len(replicas))
	for _, replica := range replicas {
		directory.replicas[replica.ID] = &replica
	}
}

// replace replaces the previous replica by the next one of the same identifier; either may be nil. The caller
// holds the mutex.
func (directory *Directory) replace(previous, next *topology.Replica) {
	if previous != nil {
		directory.unlist(previous.Incarnation)
		delete(directory.replicas, previous.ID)
	}
	if next != nil {
		directory.replicas[next.ID] = next
		directory.list(next)
	}
	if previous != nil && next != nil && sameCandidate(previous, next) {
		return
	}
	// Callers keep the slices that Replicas returned, so a change makes a new slice.
	if previous != nil {
		directory.byService[previous.Service] = slices.DeleteFunc(slices.Clone(directory.byService[previous.Service]), func(candidate balance.Candidate) bool {
			return candidate.Incarnation == previous.Incarnation
		})
	}
	if next != nil {
		directory.byService[next.Service] = append(slices.Clone(directory.byService[next.Service]), candidate(next))
	}
}

// removeMissing removes the replicas that are not among the given ones. The caller holds the mutex.
func (directory *Directory) removeMissing(replicas []topology.Replica) {
	present := make(map[string]bool, len(replicas))
	for index := range replicas {
		present[replicas[index].ID] = true
	}
	for id, replica := range directory.replicas {
		if !present[id] {
			directory.replace(replica, nil)
		}
	}
}

// rebuild rebuilds the lists of candidates and notifies of a change. The caller holds the mutex.
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
		Release:     replica.Release,
		Slots:       replica.Slots,
	}
}

// list adds the replica to the lists of the models that it holds. The caller holds the mutex.
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

// unlist removes the replica from the lists of the models under which it was listed. The caller holds the
// mutex.
func (directory *Directory) unlist(incarnation topology.Incarnation) {
	for _, key := range directory.listings[incarnation].models {
		holders := slices.DeleteFunc(directory.byModel[key], func(holder modelHolder) bool { return holder.Incarnation == incarnation })
		directory.byModel[key] = holders
		if len(holders) == 0 {
			delete(directory.byModel, key)
		}
	}
	delete(directory.listings, incarnation)
}

// relist updates the lists of one replica if it is in use. The caller holds the mutex.
func (directory *Directory) relist(incarnation topology.Incarnation) {
	listed, ok := directory.listings[incarnation]
	if !ok {
		return
	}
	directory.unlist(incarnation)
	directory.list(listed.replica)
}
