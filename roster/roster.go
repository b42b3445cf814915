package roster

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// GracePeriod is how long after the end of an outage a replica stays in use whose row is gone. It counts from the end, not
// from when the row was found gone, since the row may have been removed right after the end.
const GracePeriod = 1800 * time.Millisecond

// Roster is the set of replicas. It is safe for concurrent use. Use New.
type Roster struct {
	mutex sync.Mutex
	// entries maps identifiers to replicas.
	entries map[string]Entry
	// sorted lists the entries by identifier, or is nil after a change until it is asked for; order lists the identifiers,
	// or is nil after a replica came or went.
	sorted []Entry
	order  []string
	// version is the version of the table up to which changes were applied.
	version uint64
	// removed lists the rows that were removed lately, the first first, and forgotten is the version up to which
	// removals are not listed any more.
	removed   []removal
	forgotten uint64
	// outageEnded is when the table answered again after an outage.
	outageEnded time.Time
	// known states that the table was read once.
	known bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: map[string]Entry{}}
}

// EndOutage notes that the table answers again since the time, after an outage. An earlier time than known changes nothing.
func (roster *Roster) EndOutage(since time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if since.After(roster.outageEnded) {
		roster.outageEnded = since
	}
}

// OutageEnd returns when the table answered again after an outage; zero if there was none.
func (roster *Roster) OutageEnd() time.Time {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.outageEnded
}

// Replace takes the whole table as of the version. A replica whose row is gone stays for the grace
// time if an outage ended a short while ago. It reports whether anything changed that others need to know.
func (roster *Roster) Replace(entries []Entry, version uint64, now time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.known && version < roster.version {
		return false
	}
	changed := !roster.known
	if !roster.known {
		roster.forgotten = version
	}
	present := make(map[string]bool, len(entries))
	for _, entry := range entries {
		present[entry.Replica.ID] = true
		changed = roster.put(entry) || changed
	}
	for id, entry := range roster.entries {
		if !present[id] {
			changed = changed || entry.Missing.IsZero()
			roster.drop(id, version, now)
		}
	}
	roster.version = version
	roster.known = true
	return changed
}

// Put takes one changed row, and reports whether anything changed that others need to know.
func (roster *Roster) Put(entry Entry) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.put(entry)
}

// put keeps the newer description of an identifier, and reports whether others need to know it. The mutex is held.
func (roster *Roster) put(entry Entry) bool {
	known, ok := roster.entries[entry.Replica.ID]
	if ok && known.Version >= entry.Version {
		if !known.Missing.IsZero() {
			known.Missing = time.Time{}
			roster.set(known)
		}
		return false
	}
	entry.Changed = entry.Version
	if ok && known.Missing.IsZero() && entry.sameRoute(&known) {
		entry.Changed = known.Changed
	}
	roster.set(entry)
	return entry.Changed == entry.Version
}

// set keeps the entry under its identifier. The mutex is held.
func (roster *Roster) set(entry Entry) {
	id := entry.Replica.ID
	if _, known := roster.entries[id]; !known {
		roster.order = nil
	}
	roster.entries[id] = entry
	roster.sorted = nil
}

// remove drops the entry of the identifier. The mutex is held.
func (roster *Roster) remove(id string) {
	delete(roster.entries, id)
	roster.order, roster.sorted = nil, nil
}

// Remove takes the removal of a row, which was the change of the version.
func (roster *Roster) Remove(id string, version uint64, now time.Time) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.drop(id, version, now)
}

// drop ends a replica, or lets it stay for the grace time after an outage. A row that was written after the version
// stays. The mutex is held.
func (roster *Roster) drop(id string, version uint64, now time.Time) {
	entry, ok := roster.entries[id]
	if !ok || entry.Version > version {
		return
	}
	if entry.Missing.IsZero() {
		roster.noteRemoval(id, version)
	}
	if roster.outageEnded.IsZero() || now.Sub(roster.outageEnded) >= GracePeriod {
		roster.remove(id)
		return
	}
	if entry.Missing.IsZero() {
		entry.Missing = now
		roster.set(entry)
	}
}

// Advance notes that all changes up to the version were applied.
func (roster *Roster) Advance(version uint64) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	roster.version = max(roster.version, version)
}

// Version returns the version of the table up to which changes were applied, and whether it was ever read.
func (roster *Roster) Version() (uint64, bool) {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return roster.version, roster.known
}

// ExpireMissing ends the replicas whose grace time is over and reports whether there were any.
func (roster *Roster) ExpireMissing(now time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	before := len(roster.entries)
	for id, entry := range roster.entries {
		if !entry.Missing.IsZero() && now.Sub(roster.outageEnded) >= GracePeriod {
			roster.remove(id)
		}
	}
	return len(roster.entries) != before
}

// Entries returns all entries, ordered by identifier. The list is the same until something changes, and must not be
// changed by the caller.
func (roster *Roster) Entries() []Entry {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	if roster.sorted != nil {
		return roster.sorted
	}
	if roster.order == nil {
		roster.order = slices.Sorted(maps.Keys(roster.entries))
	}
	roster.sorted = make([]Entry, 0, len(roster.order))
	for _, id := range roster.order {
		roster.sorted = append(roster.sorted, roster.entries[id])
	}
	return roster.sorted
}

// Has reports whether the run of the replica is in the table.
func (roster *Roster) Has(run topology.Incarnation) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	entry, ok := roster.entries[run.ID]
	return ok && entry.Replica.Incarnation == run
}

// Usable returns the replicas that take new requests, ordered by identifier.
func (roster *Roster) Usable() []topology.Replica {
	var usable []topology.Replica
	for _, entry := range roster.Entries() {
		if !entry.Replica.Draining {
			usable = append(usable, entry.Replica)
		}
	}
	return usable
}

// InGracePeriod reports whether an outage ended so lately that rows which are gone may come back.
func (roster *Roster) InGracePeriod(now time.Time) bool {
	roster.mutex.Lock()
	defer roster.mutex.Unlock()
	return !roster.outageEnded.IsZero() && now.Sub(roster.outageEnded) < GracePeriod
}
