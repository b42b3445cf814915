package roster

import (
	"slices"
	"strings"
)

// mostRemoved is the number of removals that are remembered.
const mostRemoved = 1024

// removal is a row that was removed by the change of the version.
type removal struct {
	id      string
	version uint64
}

// noteRemoval remembers a removal. The mutex is held.
func (roster *Roster) noteRemoval(id string, version uint64) {
	roster.removed = append(roster.removed, removal{id, version})
	if len(roster.removed) > mostRemoved {
		roster.forgotten = max(roster.forgotten, roster.removed[0].version)
		roster.removed = roster.removed[1:]
	}
}

// present reports whether the row is there. The mutex is held.
func (roster *Roster) present(id string) bool {
	entry, ok := roster.entries[id]
	return ok && entry.Missing.IsZero()
}

// Delta is what leads from one version of the table to another.
type Delta struct {
	// Version is the version that it leads to.
	Version uint64
	// Entries are the rows that changed in what others need to know, ordered by identifier, or all if Whole is set.
	Entries []Entry
	Whole   bool
	// Removed names the rows that are gone.
	Removed []string
}

// ChangesSince returns what leads on from the version, and false if the table was never read. It is whole if the version is
// zero or removals after it are forgotten.
func (roster *Roster) ChangesSince(version uint64) (Delta, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if !roster.known {
		return Delta{}, false
	}
	delta := Delta{Version: roster.version, Whole: version == 0 || version < roster.forgotten}
	for _, entry := range roster.entries {
		if entry.Missing.IsZero() && (delta.Whole || entry.Changed > version) {
			delta.Entries = append(delta.Entries, entry)
		}
	}
	slices.SortFunc(delta.Entries, func(a, b Entry) int { return strings.Compare(a.Replica.ID, b.Replica.ID) })
	if delta.Whole {
		return delta, true
	}
	for _, removal := range roster.removed {
		if removal.version > version && !roster.present(removal.id) {
			delta.Removed = append(delta.Removed, removal.id)
		}
	}
	return delta, true
}
