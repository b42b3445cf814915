package peer

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// held is a record with the versions at which its parts changed, as far as
// this daemon needs them to send differences. It is guarded by the Node.
type held struct {
	// record is never changed in place.
	record Record
	// heard is when its daemon spoke last, by the local clock.
	heard time.Time
	// floor is the version below which a difference cannot be told: something was removed since.
	floor uint64
	// suspectsAt and backlogsAt are the versions of the last change.
	suspectsAt, backlogsAt uint64
	// parts holds the versions for each upstream in record.Observations.
	parts map[string]partVersions
}

// partVersions holds the versions at which the parts of an observation changed.
type partVersions struct {
	// shape is the version of the last change of anything but load.
	shape uint64
	// seen is the version of the last observation.
	seen uint64
}

// replace takes the next version of the record and finds what changed. The
// incarnation must be the same, and next.Version must be larger than the version held.
func (held *held) replace(next Record) {
	last := held.record
	if !sameSuspects(last.Suspects, next.Suspects) {
		held.suspectsAt = next.Version
	}
	if !slices.Equal(last.Backlogs, next.Backlogs) {
		held.backlogsAt = next.Version
	}
	former := indexObservations(last.Observations)
	parts := make(map[string]partVersions, len(next.Observations))
	for _, seen := range next.Observations {
		name := seen.State.Upstream
		versions := held.parts[name]
		before, ok := former[name]
		if !ok || !sameShape(before.State, seen.State) {
			versions.shape = next.Version
		}
		if !ok || !sameReport(before, seen) {
			versions.seen = next.Version
		}
		parts[name] = versions
		delete(former, name)
	}
	if len(former) > 0 {
		held.floor = next.Version
	}
	held.record = next
	held.parts = parts
}

// reshaped reports whether the newest version changed more than load and time of an observation.
func (held *held) reshaped() bool {
	for _, versions := range held.parts {
		if versions.shape == held.record.Version {
			return true
		}
	}
	return held.floor == held.record.Version
}

func indexObservations(observations []Observation) map[string]Observation {
	index := make(map[string]Observation, len(observations))
	for _, seen := range observations {
		index[seen.State.Upstream] = seen
	}
	return index
}

func sameReport(a, b Observation) bool {
	return a.State.BootID == b.State.BootID && a.State.Sequence == b.State.Sequence && a.Seen.Equal(b.Seen)
}

// sameShape reports whether two states differ in nothing but load, sequence and time.
func sameShape(a, b upstream.State) bool {
	if a.BootID != b.BootID || a.Role != b.Role || a.Capacity != b.Capacity {
		return false
	}
	if a.Fence != b.Fence || a.Leaving != b.Leaving || len(a.Checkpoints) != len(b.Checkpoints) {
		return false
	}
	for key, tier := range a.Checkpoints {
		if other, ok := b.Checkpoints[key]; !ok || other != tier {
			return false
		}
	}
	return slices.EqualFunc(a.Replicas, b.Replicas, sameReplica)
}

func sameReplica(a, b upstream.Replica) bool {
	if a.Model != b.Model || a.Version != b.Version || a.Order != b.Order {
		return false
	}
	return a.Phase == b.Phase && a.Memory == b.Memory && slices.Equal(a.Adapters, b.Adapters)
}
