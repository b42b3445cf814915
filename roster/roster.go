package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/topology"
)

// GracePeriod is how long after the end of an outage a replica without a row remains in use. It counts from the end
// of the outage, not from when the row was first missing, since the row may have been removed right after the outage.
const GracePeriod = 1800 * time.Millisecond

// RewriteTime is how long after the store came back from an older copy replicas that are alive may take to write their rows again.
const RewriteTime = 2 * GracePeriod

// Roster is the set of replicas. It is safe for concurrent use. Use New.
type Roster struct {
	mutex sync.Mutex
	// entries maps identifiers to replicas.
	entries map[string]Entry
	// sorted caches the entries ordered by identifier, and is nil after a change. sortedIDs caches the identifiers,
	// and is nil after a replica was added or removed.
	sorted    []Entry
	sortedIDs []string
	// version is the version of the table up to which changes were applied.
	version datastore.Version
	// removed lists recent removals, the oldest first. Removals up to the version compacted are no longer listed.
	removed   []removal
	compacted datastore.Version
	// outageEnded is when the table answered again after an outage.
	outageEnded time.Time
	// loaded reports whether the table was read at least once.
	loaded bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Entry{}}
}

// EndOutage records that the table answers again since the given time, after an outage. A time before the recorded
// one is ignored.
func (roster *Roster) EndOutage(since time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if since.After(roster.outageEnded) {
		roster.outageEnded = since
	}
}

// OutageEnd returns when the table answered again after the last outage; zero if there was none.
func (roster *Roster) OutageEnd() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.outageEnded
}

// Replace replaces all rows by a snapshot of the table at the version; an older snapshot than the current version is
// ignored. A replica without a row is kept for the grace period after an outage. A row that was removed is not added
// again by a snapshot of a store that came back from an older copy: its replica writes it again if it is alive. It
// reports whether anything changed that has to be propagated to other daemons.
func (roster *Roster) Replace(entries []Entry, version datastore.Version, now time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.loaded && version < roster.version {
		return false
	}
	changed := !roster.loaded
	if !roster.loaded {
		roster.compacted = version
	}
	present := make(map[string]bool, len(entries))
	removed := roster.removedInEarlierEras(version)
	for _, entry := range entries {
		if removed[entry.Replica.Incarnation] && !roster.isPresent(entry.Replica.ID) {
			continue
		}
		present[entry.Replica.ID] = true
		changed = roster.put(entry) || changed
	}
	for id, entry := range roster.entries {
		if !present[id] {
			changed = changed || entry.Missing.IsZero()
			roster.removeRow(id, version, now)
		}
	}
	roster.version = version
	roster.loaded = true
	return changed
}

// Put applies one added or changed row, and reports whether the change has to be propagated to other daemons.
func (roster *Roster) Put(entry Entry) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.put(entry)
}

// Outdated reports whether Put would ignore the entry as older although requests would be routed to it differently, and
// returns the version of the known row.
func (roster *Roster) Outdated(entry Entry) (datastore.Version, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	known, ok := roster.entries[entry.Replica.ID]
	return known.Version, ok && known.Version > entry.Version && !entry.sameRoute(&known)
}

// put keeps the newer description of a replica, and reports whether it has to be propagated. The caller holds the
// mutex.
func (roster *Roster) put(entry Entry) bool {
	known, ok := roster.entries[entry.Replica.ID]
	if ok && known.Version >= entry.Version {
		if !known.Missing.IsZero() {
			known.Missing = time.Time{}
			roster.set(known)
		}
		return false
	}
	if ok && entry.isFormerOf(&known) {
		known.Copied = &entry
		roster.set(known)
		return false
	}
	if ok && known.Replica.Incarnation == entry.Replica.Incarnation && known.Version.Era() < entry.Version.Era() {
		// The row may be from an older copy of the store, from before the replica began to drain.
		entry.Replica.Draining = entry.Replica.Draining || known.Replica.Draining
	}
	entry.Changed = entry.Version
	if ok && known.Missing.IsZero() && entry.sameRoute(&known) {
		entry.Changed = known.Changed
	}
	roster.set(entry)
	return entry.Changed == entry.Version
}

// set stores the entry under its identifier. The caller holds the mutex.
func (roster *Roster) set(entry Entry) {
	id := entry.Replica.ID
	if _, known := roster.entries[id]; !known {
		roster.sortedIDs = nil
	}
	roster.entries[id] = entry
	roster.sorted = nil
}

// deleteEntry deletes the entry of the identifier. The caller holds the mutex.
func (roster *Roster) deleteEntry(id string) {
	delete(roster.entries, id)
	roster.sortedIDs, roster.sorted = nil, nil
}

// Remove applies the removal of a row, after which the table has the version.
func (roster *Roster) Remove(id string, version datastore.Version, now time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.removeRow(id, version, now)
}

// removeRow deletes a replica, or marks it as missing in the grace period after an outage. A row that was written
// after the version stays. The caller holds the mutex.
func (roster *Roster) removeRow(id string, version datastore.Version, now time.Time) {
	entry, ok := roster.entries[id]
	if !ok || entry.Version > version {
		return
	}
	if entry.Missing.IsZero() {
		roster.recordRemoval(entry.Replica.Incarnation, version)
	}
	if roster.outageEnded.IsZero() || now.Sub(roster.outageEnded) >= GracePeriod {
		roster.deleteEntry(id)
		return
	}
	if entry.Missing.IsZero() {
		entry.Missing = now
		roster.set(entry)
	}
}

// Advance records that all changes up to the version were applied.
func (roster *Roster) Advance(version datastore.Version) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.version = max(roster.version, version)
}

// Version returns the version of the table up to which changes were applied, and whether the table was ever read.
func (roster *Roster) Version() (datastore.Version, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.version, roster.loaded
}

// ExpireMissing deletes missing replicas once the grace period is over, believes the copy of the store of replicas that did not write
// their rows again within RewriteTime, and reports whether there were any of both.
func (roster *Roster) ExpireMissing(now time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	expired := false
	age := now.Sub(roster.outageEnded)
	for id, entry := range roster.entries {
		switch {
		case !entry.Missing.IsZero() && age >= GracePeriod:
			roster.deleteEntry(id)
			expired = true
		case entry.Copied != nil && age >= RewriteTime:
			copied := *entry.Copied
			copied.Changed = copied.Version
			roster.set(copied)
			expired = true
		}
	}
	return expired
}

// Entries returns all entries, ordered by identifier. The slice is shared between calls until the next change; the
// caller must not modify it.
func (roster *Roster) Entries() []Entry {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.sorted != nil {
		return roster.sorted
	}
	if roster.sortedIDs == nil {
		roster.sortedIDs = slices.Sorted(maps.Keys(roster.entries))
	}
	roster.sorted = make([]Entry, 0, len(roster.sortedIDs))
	for _, id := range roster.sortedIDs {
		roster.sorted = append(roster.sorted, roster.entries[id])
	}
	return roster.sorted
}

// Find returns the replica of the incarnation, and whether it is in the roster.
func (roster *Roster) Find(incarnation topology.Incarnation) (topology.Replica, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	entry, ok := roster.entries[incarnation.ID]
	return entry.Replica, ok && entry.Replica.Incarnation == incarnation
}

// Has reports whether this incarnation of the replica is in the roster.
func (roster *Roster) Has(incarnation topology.Incarnation) bool {
	_, ok := roster.Find(incarnation)
	return ok
}

// Knew reports whether the roster has or lately had a row with the identifier.
func (roster *Roster) Knew(id string) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	_, present := roster.entries[id]
	return present || slices.ContainsFunc(roster.removed, func(removal removal) bool { return removal.incarnation.ID == id })
}

// Usable returns the replicas that accept new requests, ordered by identifier.
func (roster *Roster) Usable() []topology.Replica {
	var usable []topology.Replica
	for _, entry := range roster.Entries() {
		if !entry.Replica.Draining {
			usable = append(usable, entry.Replica)
		}
	}
	return usable
}

// InGracePeriod reports whether an outage ended so recently that missing rows may be written again.
func (roster *Roster) InGracePeriod(now time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return !roster.outageEnded.IsZero() && now.Sub(roster.outageEnded) < GracePeriod
}
