package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// Fleet collects states. It is safe for concurrent use. Use New.
//
// What its methods return is immutable: a change replaces entries and slices and never writes to them.
type Fleet struct {
	clock clock.PassiveClock
	lock  sync.RWMutex
	// known has an entry for each member and no other.
	known map[string]*Entry
	// all holds the entries of known in the order of names, or nil after a change until it is asked for.
	all []*Entry
	// places has an entry for each model with a replica, in the order of upstreams.
	places map[string][]HostedReplica
	// changed is closed and replaced when a replica, an upstream or a leaving sign changes.
	changed chan struct{}
}

// New returns a fleet without members.
func New(clock clock.PassiveClock) *Fleet {
	return &Fleet{
		clock:   clock,
		known:   map[string]*Entry{},
		places:  map[string][]HostedReplica{},
		changed: make(chan struct{}),
	}
}

// Known returns every upstream in the order of names. It costs a sort after a change.
func (fleet *Fleet) Entries() []*Entry {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	if fleet.all == nil {
		fleet.all = make([]*Entry, 0, len(fleet.known))
		for _, known := range fleet.known {
			fleet.all = append(fleet.all, known)
		}
		slices.SortFunc(fleet.all, func(a, b *Entry) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	}
	return fleet.all
}

// Upstream returns one upstream by name.
func (fleet *Fleet) Upstream(name string) (*Entry, bool) {
	fleet.lock.RLock()
	defer fleet.lock.RUnlock()
	known, ok := fleet.known[name]
	return known, ok
}

// Places returns the replicas of a model in any phase and version.
func (fleet *Fleet) HostedReplicas(model string) []HostedReplica {
	fleet.lock.RLock()
	defer fleet.lock.RUnlock()
	return fleet.places[model]
}

// Changed returns a channel that is closed at the next change of a replica's
// phase or adapters, of the members, or of a leaving sign. Load alone does not close it.
func (fleet *Fleet) Changed() <-chan struct{} {
	fleet.lock.RLock()
	defer fleet.lock.RUnlock()
	return fleet.changed
}

// SetMembers replaces the members. A member with a new incarnation or address loses its state.
func (fleet *Fleet) SetMembers(members []Member) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	gone := make(map[string]bool, len(fleet.known))
	for name := range fleet.known {
		gone[name] = true
	}
	changed := false
	for _, member := range members {
		delete(gone, member.Name)
		next, kept := fleet.keep(member)
		changed = changed || !kept
		fleet.replace(member.Name, next)
	}
	for name := range gone {
		fleet.replace(name, nil)
	}
	if changed || len(gone) > 0 {
		fleet.notify()
	}
}

// keep returns the entry of the member and whether nothing that matters to a waiter changed.
func (fleet *Fleet) keep(member Member) (*Entry, bool) {
	old, ok := fleet.known[member.Name]
	if !ok || old.Member.Incarnation != member.Incarnation || old.Member.Address != member.Address {
		return &Entry{Member: fleet.stamped(member, Member{})}, false
	}
	member = fleet.stamped(member, old.Member)
	if old.Member == member {
		return old, true
	}
	next := *old
	next.Member = member
	return &next, false
}

// stamped keeps the time of the first sign of leaving.
func (fleet *Fleet) stamped(member, old Member) Member {
	switch {
	case !old.LeavingSince.IsZero():
		member.LeavingSince = old.LeavingSince
	case member.Leaving:
		member.LeavingSince = fleet.clock.Now()
	}
	return member
}

// Put takes the state of an upstream that was made not before the time, unless a newer one is known.
// It reports whether the state was taken. States of upstreams that are not members are dropped.
func (fleet *Fleet) Put(state upstream.State, asOf time.Time, direct bool) bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	old, ok := fleet.known[state.Upstream]
	if !ok || !isNewer(old, state, asOf) {
		return false
	}
	next := &Entry{Member: old.Member, State: state, AsOf: asOf, Direct: direct}
	if state.Leaving && next.Member.LeavingSince.IsZero() {
		next.Member.LeavingSince = fleet.clock.Now()
	}
	fleet.replace(state.Upstream, next)
	if !sameShape(old.State, state) {
		fleet.notify()
	}
	return true
}

// replace puts another entry in the place of an upstream's; nil removes it. The caller holds the lock.
func (fleet *Fleet) replace(name string, next *Entry) {
	old := fleet.known[name]
	if old == next {
		return
	}
	fleet.all = nil
	if old != nil {
		for _, replica := range old.State.Replicas {
			fleet.unplace(name, replica.Model)
		}
	}
	if next == nil {
		delete(fleet.known, name)
		return
	}
	fleet.known[name] = next
	for _, replica := range next.State.Replicas {
		fleet.place(next, replica)
	}
}

// unplace removes the replicas of a model on an upstream. The caller holds the lock.
func (fleet *Fleet) unplace(name, model string) {
	var rest []HostedReplica
	for _, place := range fleet.places[model] {
		if place.Entry.Member.Name != name {
			rest = append(rest, place)
		}
	}
	if len(rest) == 0 {
		delete(fleet.places, model)
		return
	}
	fleet.places[model] = rest
}

// place adds a replica in the order of upstreams. The caller holds the lock.
func (fleet *Fleet) place(known *Entry, replica upstream.Replica) {
	places := fleet.places[replica.Model]
	at, _ := slices.BinarySearchFunc(places, known.Member.Name, func(place HostedReplica, name string) int {
		return strings.Compare(place.Entry.Member.Name, name)
	})
	next := make([]HostedReplica, 0, len(places)+1)
	next = append(next, places[:at]...)
	next = append(next, HostedReplica{Entry: known, Replica: replica})
	fleet.places[replica.Model] = append(next, places[at:]...)
}

func isNewer(old *Entry, state upstream.State, asOf time.Time) bool {
	if old.State.BootID == state.BootID {
		return state.Sequence > old.State.Sequence
	}
	return asOf.After(old.AsOf)
}

func sameShape(a, b upstream.State) bool {
	if a.BootID != b.BootID || a.Leaving != b.Leaving || a.Role != b.Role {
		return false
	}
	return slices.EqualFunc(a.Replicas, b.Replicas, sameReplica)
}

func sameReplica(a, b upstream.Replica) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Phase == b.Phase && slices.Equal(a.Adapters, b.Adapters)
}

func (fleet *Fleet) notify() {
	close(fleet.changed)
	fleet.changed = make(chan struct{})
}
