package fleet

import (
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// Fleet is a registry of the states of the upstreams. Create it with New. It is safe for concurrent use.
//
// Entries and slices that its methods return are never modified: a change replaces them.
type Fleet struct {
	clock clock.PassiveClock
	mutex sync.RWMutex
	// entries has exactly one entry for each member, by name.
	entries map[string]*Entry
	// sorted holds the entries in order of names, or is nil after a change until the next call of Entries.
	sorted []*Entry
	// hosted holds the replicas of each model that has any, in order of upstreams.
	hosted map[string][]HostedReplica
	// changed is closed and replaced when a replica, a member or a leaving state changes.
	changed chan struct{}
}

// New returns a fleet without members.
func New(clock clock.PassiveClock) *Fleet {
	return &Fleet{
		clock:   clock,
		entries: map[string]*Entry{},
		hosted:  map[string][]HostedReplica{},
		changed: make(chan struct{}),
	}
}

// Entries returns the entries of all upstreams in order of names. It sorts them if anything changed since the last
// call.
func (fleet *Fleet) Entries() []*Entry {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	if fleet.sorted == nil {
		fleet.sorted = make([]*Entry, 0, len(fleet.entries))
		for _, entry := range fleet.entries {
			fleet.sorted = append(fleet.sorted, entry)
		}
		slices.SortFunc(fleet.sorted, func(a, b *Entry) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	}
	return fleet.sorted
}

// Upstream returns the entry of the named upstream, or false if it is not a member.
func (fleet *Fleet) Upstream(name string) (*Entry, bool) {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	entry, ok := fleet.entries[name]
	return entry, ok
}

// HostedReplicas returns the replicas of a model in any phase and version, in order of upstreams.
func (fleet *Fleet) HostedReplicas(model string) []HostedReplica {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.hosted[model]
}

// Changed returns a channel that is closed at the next change of a replica's
// phase or adapters, of the members, or of a leaving state. A change of load alone does not close it.
func (fleet *Fleet) Changed() <-chan struct{} {
	fleet.mutex.RLock()
	defer fleet.mutex.RUnlock()
	return fleet.changed
}

// SetMembers replaces the members. A member with a new incarnation or address loses its state.
func (fleet *Fleet) SetMembers(members []Member) {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	removed := make(map[string]bool, len(fleet.entries))
	for name := range fleet.entries {
		removed[name] = true
	}
	changed := false
	for _, member := range members {
		delete(removed, member.Name)
		next, unchanged := fleet.updateMember(member)
		changed = changed || !unchanged
		fleet.replace(member.Name, next)
	}
	for name := range removed {
		fleet.replace(name, nil)
	}
	if changed || len(removed) > 0 {
		fleet.notify()
	}
}

// updateMember returns the new entry of the member and whether it is unchanged.
func (fleet *Fleet) updateMember(member Member) (*Entry, bool) {
	old, ok := fleet.entries[member.Name]
	if !ok || old.Member.Incarnation != member.Incarnation || old.Member.Address != member.Address {
		return &Entry{Member: fleet.withLeavingSince(member, time.Time{}, member.Leaving)}, false
	}
	member = fleet.withLeavingSince(member, old.Member.LeavingSince, member.Leaving || old.State.Leaving)
	if old.Member == member {
		return old, true
	}
	next := *old
	next.Member = member
	return &next, false
}

// withLeavingSince returns the member with LeavingSince set to the known time, or to now if that is zero; zero if it is not leaving.
func (fleet *Fleet) withLeavingSince(member Member, known time.Time, leaving bool) Member {
	member.LeavingSince = known
	switch {
	case !leaving:
		member.LeavingSince = time.Time{}
	case known.IsZero():
		member.LeavingSince = fleet.clock.Now()
	}
	return member
}

// Put records the state of an upstream, which was created at asOf or later, unless a newer one is known, and
// reports whether it did. direct states that this daemon queried the engine itself. States of upstreams that are
// not members are ignored.
func (fleet *Fleet) Put(state upstream.State, asOf time.Time, direct bool) bool {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	old, ok := fleet.entries[state.Upstream]
	if !ok || !isNewer(old, state, asOf) {
		return false
	}
	next := &Entry{Member: old.Member, State: state, AsOf: asOf, Direct: direct}
	next.Member = fleet.withLeavingSince(old.Member, old.Member.LeavingSince, old.Member.Leaving || state.Leaving)
	fleet.replace(state.Upstream, next)
	if !equalExceptLoad(old.State, state) {
		fleet.notify()
	}
	return true
}

// replace replaces the entry of an upstream; nil removes it. The caller holds the mutex.
func (fleet *Fleet) replace(name string, next *Entry) {
	old := fleet.entries[name]
	if old == next {
		return
	}
	fleet.sorted = nil
	if old != nil {
		for _, replica := range old.State.Replicas {
			fleet.removeReplicas(name, replica.Model)
		}
	}
	if next == nil {
		delete(fleet.entries, name)
		return
	}
	fleet.entries[name] = next
	for _, replica := range next.State.Replicas {
		fleet.addReplica(next, replica)
	}
}

// removeReplicas removes the replicas of a model on an upstream. The caller holds the mutex.
func (fleet *Fleet) removeReplicas(name, model string) {
	var remaining []HostedReplica
	for _, replica := range fleet.hosted[model] {
		if replica.Entry.Member.Name != name {
			remaining = append(remaining, replica)
		}
	}
	if len(remaining) == 0 {
		delete(fleet.hosted, model)
		return
	}
	fleet.hosted[model] = remaining
}

// addReplica inserts a replica in order of upstreams. The caller holds the mutex.
func (fleet *Fleet) addReplica(entry *Entry, replica upstream.Replica) {
	hosted := fleet.hosted[replica.Model]
	index, _ := slices.BinarySearchFunc(hosted, entry.Member.Name, func(other HostedReplica, name string) int {
		return strings.Compare(other.Entry.Member.Name, name)
	})
	next := make([]HostedReplica, 0, len(hosted)+1)
	next = append(next, hosted[:index]...)
	next = append(next, HostedReplica{Entry: entry, Replica: replica})
	fleet.hosted[replica.Model] = append(next, hosted[index:]...)
}

func isNewer(old *Entry, state upstream.State, asOf time.Time) bool {
	if old.State.BootID == state.BootID {
		return state.Sequence > old.State.Sequence
	}
	return asOf.After(old.AsOf)
}

func equalExceptLoad(a, b upstream.State) bool {
	if a.BootID != b.BootID || a.Release != b.Release || a.Leaving != b.Leaving || a.Role != b.Role {
		return false
	}
	return slices.EqualFunc(a.Replicas, b.Replicas, equalReplica)
}

func equalReplica(a, b upstream.Replica) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Phase == b.Phase && slices.Equal(a.Adapters, b.Adapters)
}

func (fleet *Fleet) notify() {
	close(fleet.changed)
	fleet.changed = make(chan struct{})
}
