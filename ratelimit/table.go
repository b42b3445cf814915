package ratelimit

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

const (
	// maxIncarnations bounds the number of incarnations in a Table.
	maxIncarnations = 4096
	// reportInterval is the shortest time between two reported changes of one incarnation, whose limit may change
	// with every response.
	reportInterval = 5 * time.Second
	// ageError is the largest error of a time that another daemon told: it is too late by the time on the way.
	ageError = time.Second
	// spreadTime is how long a change is told to others with every message.
	spreadTime = 10 * time.Second
	// endedRetention is how long after the last response without it it is kept that a limit has ended.
	endedRetention = time.Minute
)

// Table holds the limits of replicas by incarnation, as one daemon knows them. It is safe for concurrent use. Use
// NewTable.
type Table struct {
	mutex sync.RWMutex
	// entries maps incarnations to their limits; at most maxIncarnations.
	entries map[topology.Incarnation]*tableEntry
	// count is the number of entries with a limit in force.
	count atomic.Int64
	// rotation is the number of entries told so far out of those that did not change lately.
	rotation int
}

// tableEntry is the limit of one incarnation and what was reported of it.
type tableEntry struct {
	Limit
	// reported is the last reported limit in requests per second, and reportedAt when that was.
	reported   float64
	reportedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[topology.Incarnation]*tableEntry{}}
}

// Limit returns the limit of the incarnation in requests per second, and whether there is one.
func (table *Table) Limit(incarnation topology.Incarnation) (float64, bool) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	entry, known := table.entries[incarnation]
	if !known {
		return 0, false
	}
	return entry.PerSecond, entry.Named()
}

// Entry returns what is known of the incarnation, and whether anything is.
func (table *Table) Entry(incarnation topology.Incarnation) (Entry, bool) {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	entry, known := table.entries[incarnation]
	if !known {
		return Entry{}, false
	}
	return Entry{incarnation, entry.Limit}, true
}

// Observe records what a response of the incarnation states. It returns a change and true if one is to be reported.
//
// Responses may overtake each other. One to a request that was sent after the known limit had arrived is newer than
// that limit and replaces it. Of others the lower limit counts, and one that names no limit changes nothing.
func (table *Table) Observe(incarnation topology.Incarnation, observed Observation) (Change, bool) {
	if !observed.Named && !table.mayEnd(incarnation, observed) {
		return Change{}, false
	}
	perSecond := observed.inForce()
	table.mutex.Lock()
	defer table.mutex.Unlock()
	entry := table.entry(incarnation, observed.Received)
	newer := !observed.Sent.Before(entry.Since)
	if !newer && entry.Named() && (!observed.Named || perSecond > entry.PerSecond) {
		return Change{}, false
	}
	table.set(entry, perSecond, observed.Received, observed.Received)
	return entry.report(observed.Received)
}

// mayEnd reports whether an observation without a limit may end the known limit of the incarnation, or confirm that it has
// ended: other daemons believe an end only if it is confirmed later, by ageError, than the limit that they know.
func (table *Table) mayEnd(incarnation topology.Incarnation, observed Observation) bool {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	entry, known := table.entries[incarnation]
	return known && observed.Conclusive && !observed.Sent.Before(entry.Since)
}

// Merge records what another daemon told, and returns a change and true if one is to be reported. The later
// observation counts. One that raises or ends the limit counts only if it is later for certain.
func (table *Table) Merge(told Entry, now time.Time) (Change, bool) {
	if told.Named() {
		told.PerSecond = clamp(told.PerSecond)
	}
	table.mutex.Lock()
	defer table.mutex.Unlock()
	entry, known := table.entries[told.Incarnation]
	if !known {
		entry = table.entry(told.Incarnation, now)
		table.set(entry, told.PerSecond, told.Confirmed, now)
		return entry.report(now)
	}
	if told.PerSecond == entry.PerSecond {
		entry.Confirmed = latest(entry.Confirmed, told.Confirmed)
		return entry.report(now)
	}
	lowers := told.Named() && (!entry.Named() || told.PerSecond < entry.PerSecond)
	required := entry.Confirmed
	if !lowers {
		required = required.Add(ageError)
	}
	if !told.Confirmed.After(required) {
		return Change{}, false
	}
	table.set(entry, told.PerSecond, told.Confirmed, now)
	return entry.report(now)
}

// Share returns the entries for the next message to another daemon: all that changed within spreadTime, and others in
// turn up to the limit.
func (table *Table) Share(limit int, now time.Time) []Entry {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	var changed, steady []Entry
	for incarnation, entry := range table.entries {
		if now.Sub(entry.Since) < spreadTime {
			changed = append(changed, Entry{incarnation, entry.Limit})
		} else {
			steady = append(steady, Entry{incarnation, entry.Limit})
		}
	}
	slices.SortFunc(steady, compareEntries)
	for range min(max(limit-len(changed), 0), len(steady)) {
		table.rotation++
		changed = append(changed, steady[table.rotation%len(steady)])
	}
	return changed
}

// All returns all entries, ordered by identifier.
func (table *Table) All() []Entry {
	table.mutex.RLock()
	defer table.mutex.RUnlock()
	all := make([]Entry, 0, len(table.entries))
	for incarnation, entry := range table.entries {
		all = append(all, Entry{incarnation, entry.Limit})
	}
	slices.SortFunc(all, compareEntries)
	return all
}

// compareEntries orders entries by identifier and start of the incarnation.
func compareEntries(a, b Entry) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.Started, b.Started))
}

// Prune drops incarnations that are not live and were confirmed before the given time, and limits that ended long ago.
func (table *Table) Prune(live map[topology.Incarnation]bool, before, now time.Time) {
	table.mutex.Lock()
	defer table.mutex.Unlock()
	maps.DeleteFunc(table.entries, func(incarnation topology.Incarnation, entry *tableEntry) bool {
		gone := !live[incarnation] && entry.Confirmed.Before(before)
		return gone || (!entry.Named() && now.Sub(entry.Confirmed) > endedRetention)
	})
	table.recount()
}

// entry returns the entry of the incarnation, and adds one without a limit if there is none. If the table is full, the
// entry that was confirmed first is evicted. The mutex must be held.
func (table *Table) entry(incarnation topology.Incarnation, now time.Time) *tableEntry {
	entry, known := table.entries[incarnation]
	if known {
		return entry
	}
	if len(table.entries) >= maxIncarnations {
		table.evict()
	}
	entry = &tableEntry{Limit: Limit{Confirmed: now}}
	table.entries[incarnation] = entry
	return entry
}

// evict removes the entry that was confirmed first. The mutex must be held.
func (table *Table) evict() {
	var first topology.Incarnation
	found := false
	for incarnation, entry := range table.entries {
		if !found || entry.Confirmed.Before(table.entries[first].Confirmed) {
			first, found = incarnation, true
		}
	}
	delete(table.entries, first)
	table.recount()
}

// set records a limit that was confirmed at the given time. The mutex must be held.
func (table *Table) set(entry *tableEntry, perSecond float64, confirmed, now time.Time) {
	if entry.Since.IsZero() || perSecond != entry.PerSecond {
		entry.Since = now
	}
	wasNamed := entry.Named()
	entry.PerSecond = perSecond
	entry.Confirmed = latest(entry.Confirmed, confirmed)
	if entry.Named() != wasNamed {
		table.recount()
	}
}

// recount counts the limits in force. The mutex must be held.
func (table *Table) recount() {
	count := int64(0)
	for _, entry := range table.entries {
		if entry.Named() {
			count++
		}
	}
	table.count.Store(count)
}

// report returns the change since the last report, and true if there is one and reportInterval has passed.
func (entry *tableEntry) report(now time.Time) (Change, bool) {
	if entry.PerSecond == entry.reported || (!entry.reportedAt.IsZero() && now.Sub(entry.reportedAt) < reportInterval) {
		return Change{}, false
	}
	change := Change{From: entry.reported, To: entry.PerSecond}
	entry.reported, entry.reportedAt = entry.PerSecond, now
	return change, true
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
