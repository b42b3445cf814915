package peer

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// entry is a record of this or another daemon, with the versions at which its parts changed. These are
// needed to send differences. It is guarded by the mutex of the Node.
type entry struct {
	// record is never changed in place.
	record Record
	// lastSeen is when the daemon was last seen, by the local clock.
	lastSeen time.Time
	// oldestBase is the oldest version from which a difference can be sent. It is the version of the last removal of
	// an observation, since differences cannot express removals.
	oldestBase uint64
	// suspectsVersion and backlogsVersion are the versions of the last change of these lists.
	suspectsVersion, backlogsVersion uint64
	// observationVersions holds the versions of each entry of record.Observations, by upstream.
	observationVersions map[string]partVersions
}

// partVersions holds the versions at which the parts of an observation last changed.
type partVersions struct {
	// shape is the version of the last change other than of load.
	shape uint64
	// observation is the version of the newest observation.
	observation uint64
}

// replace stores the next version of the record and records which parts changed. The incarnation must be the
// same and next.Version must be larger than the stored one.
func (entry *entry) replace(next Record) {
	last := entry.record
	if !sameSuspects(last.Suspects, next.Suspects) {
		entry.suspectsVersion = next.Version
	}
	if !slices.Equal(last.Backlogs, next.Backlogs) {
		entry.backlogsVersion = next.Version
	}
	previous := indexObservations(last.Observations)
	observationVersions := make(map[string]partVersions, len(next.Observations))
	for _, observation := range next.Observations {
		name := observation.State.Upstream
		versions := entry.observationVersions[name]
		before, ok := previous[name]
		if !ok || !sameShape(before.State, observation.State) {
			versions.shape = next.Version
		}
		if !ok || !sameObservation(before, observation) {
			versions.observation = next.Version
		}
		observationVersions[name] = versions
		delete(previous, name)
	}
	if len(previous) > 0 {
		entry.oldestBase = next.Version
	}
	entry.record = next
	entry.observationVersions = observationVersions
}

// shapeChanged reports whether the newest version changed an observation in more than load and time, or removed
// one.
func (entry *entry) shapeChanged() bool {
	for _, versions := range entry.observationVersions {
		if versions.shape == entry.record.Version {
			return true
		}
	}
	return entry.oldestBase == entry.record.Version
}

// indexObservations returns the observations by upstream.
func indexObservations(observations []Observation) map[string]Observation {
	index := make(map[string]Observation, len(observations))
	for _, observation := range observations {
		index[observation.State.Upstream] = observation
	}
	return index
}

// sameObservation reports whether both are the same report of an upstream at the same time.
func sameObservation(a, b Observation) bool {
	return a.State.BootID == b.State.BootID && a.State.Sequence == b.State.Sequence && a.Seen.Equal(b.Seen)
}

// sameShape reports whether two states are equal but for load, sequence and time.
func sameShape(a, b upstream.State) bool {
	if a.BootID != b.BootID || a.Release != b.Release || a.Role != b.Role || a.Capacity != b.Capacity {
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

// sameReplica reports whether two replicas are equal but for load.
func sameReplica(a, b upstream.Replica) bool {
	if a.Model != b.Model || a.Version != b.Version || a.Order != b.Order {
		return false
	}
	return a.Phase == b.Phase && a.Memory == b.Memory && slices.Equal(a.Adapters, b.Adapters)
}
