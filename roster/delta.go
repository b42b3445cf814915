package roster

import (
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/topology"
)

// maxRemovals is the number of removals that a roster keeps.
const maxRemovals = 1024

// removal is a row that was removed, with the version of the table after the removal.
type removal struct {
	incarnation topology.Incarnation
	version     datastore.Version
}

// recordRemoval adds a removal and discards the oldest above maxRemovals. The caller holds the mutex.
func (roster *Roster) recordRemoval(incarnation topology.Incarnation, version datastore.Version) {
	roster.removed = append(roster.removed, removal{incarnation, version})
	if len(roster.removed) > maxRemovals {
		roster.compacted = max(roster.compacted, roster.removed[0].version)
		roster.removed = roster.removed[1:]
	}
}

// removedInEarlierEras returns the incarnations whose rows were removed in an era of the store before that of the version. The
// caller holds the mutex.
func (roster *Roster) removedInEarlierEras(version datastore.Version) map[topology.Incarnation]bool {
	removed := map[topology.Incarnation]bool{}
	for _, removal := range roster.removed {
		if removal.version.Era() < version.Era() {
			removed[removal.incarnation] = true
		}
	}
	return removed
}

// isPresent reports whether the row is in the table. The caller holds the mutex.
func (roster *Roster) isPresent(id string) bool {
	entry, ok := roster.entries[id]
	return ok && entry.Missing.IsZero()
}

// Delta contains the changes that lead from one version of the table to another.
type Delta struct {
	// Version is the version of the table after the changes.
	Version datastore.Version
	// Entries are the rows whose route changed, ordered by identifier, or all rows if Whole is set.
	Entries []Entry
	Full    bool
	// Removed contains the identifiers of removed rows.
	Removed []string
}

// ChangesSince returns the changes after the version, and false if the table was never read. The delta is whole if
// the version is zero or removals after it have been discarded.
func (roster *Roster) ChangesSince(version datastore.Version) (Delta, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if !roster.loaded {
		return Delta{}, false
	}
	delta := Delta{Version: roster.version, Full: version == 0 || version < roster.compacted}
	for _, entry := range roster.entries {
		if entry.Missing.IsZero() && (delta.Full || entry.Changed > version) {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	slices.SortFunc(delta.Entries, func(a, b Entry) int { return strings.Compare(a.Replica.ID, b.Replica.ID) })
	if delta.Full {
		return delta, true
	}
	for _, removal := range roster.removed {
		if removal.version > version && !roster.isPresent(removal.incarnation.ID) {
			delta.Removed = append(delta.Removed, removal.incarnation.ID)
		}
	}
	return delta, true
}
