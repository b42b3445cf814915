package fleet

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// Fleet collects states. It is safe for concurrent use. Use New.
type Fleet struct {
	clock clock.PassiveClock
	lock  sync.Mutex
	// known has an entry for each member and no other.
	known map[string]Known
	// view is nil after a change until it is asked for.
	view *View
	// changed is closed and replaced when a replica, an upstream or a leaving sign changes.
	changed chan struct{}
}

// New returns a fleet without members.
func New(clock clock.PassiveClock) *Fleet {
	return &Fleet{clock: clock, known: map[string]Known{}, changed: make(chan struct{})}
}

// View returns what is known now.
func (fleet *Fleet) View() *View {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	if fleet.view == nil {
		fleet.view = newView(fleet.sorted())
	}
	return fleet.view
}

func (fleet *Fleet) sorted() []Known {
	known := slices.Collect(maps.Values(fleet.known))
	slices.SortFunc(known, func(a, b Known) int { return strings.Compare(a.Member.Name, b.Member.Name) })
	return known
}

// Changed returns a channel that is closed at the next change of a replica's
// phase or adapters, of the members, or of a leaving sign. Load alone does not close it.
func (fleet *Fleet) Changed() <-chan struct{} {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	return fleet.changed
}

// SetMembers replaces the members. A member with a new incarnation or address loses its state.
func (fleet *Fleet) SetMembers(members []Member) {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	next := make(map[string]Known, len(members))
	changed := len(members) != len(fleet.known)
	for _, member := range members {
		known, kept := fleet.keep(member)
		changed = changed || !kept
		next[member.Name] = known
	}
	fleet.known = next
	fleet.view = nil
	if changed {
		fleet.notify()
	}
}

// keep returns the entry of the member and whether nothing that matters to a waiter changed.
func (fleet *Fleet) keep(member Member) (Known, bool) {
	old, ok := fleet.known[member.Name]
	if !ok || old.Member.Incarnation != member.Incarnation || old.Member.Address != member.Address {
		return Known{Member: fleet.stamped(member, Member{})}, false
	}
	member = fleet.stamped(member, old.Member)
	same := old.Member == member
	old.Member = member
	return old, same
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
	next := Known{Member: old.Member, State: state, AsOf: asOf, Direct: direct}
	if state.Leaving && next.Member.LeavingSince.IsZero() {
		next.Member.LeavingSince = fleet.clock.Now()
	}
	fleet.known[state.Upstream] = next
	fleet.view = nil
	if !sameShape(old.State, state) {
		fleet.notify()
	}
	return true
}

func isNewer(old Known, state upstream.State, asOf time.Time) bool {
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
