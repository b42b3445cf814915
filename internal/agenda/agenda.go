package agenda

import (
	"cmp"
	"container/heap"
	"time"
)

// Agenda is a priority queue with at most one due time for each key. Use New. It is not safe for concurrent use.
type Agenda[K cmp.Ordered] struct {
	// times holds the due time of each scheduled key.
	times map[K]time.Time
	// entries is a heap ordered by time; an entry that differs from times is stale.
	entries entries[K]
}

// New returns an empty agenda.
func New[K cmp.Ordered]() *Agenda[K] {
	return &Agenda[K]{times: map[K]time.Time{}}
}

// Schedule sets or replaces the due time of the key. The zero time removes it.
// The cost is logarithmic in the number of keys.
func (agenda *Agenda[K]) Schedule(key K, at time.Time) {
	if at.IsZero() {
		delete(agenda.times, key)
		return
	}
	agenda.times[key] = at
	heap.Push(&agenda.entries, entry[K]{at: at, key: key})
	agenda.compact()
}

// At returns the due time of the key, or the zero time if it has none.
func (agenda *Agenda[K]) At(key K) time.Time {
	return agenda.times[key]
}

// Next returns the earliest due time, or the zero time if the agenda is empty.
func (agenda *Agenda[K]) Next() time.Time {
	agenda.dropStale()
	if len(agenda.entries) == 0 {
		return time.Time{}
	}
	return agenda.entries[0].at
}

// Pop removes and returns the first key, by time and then key, that is due at or before now.
// It reports false if there is none.
func (agenda *Agenda[K]) Pop(now time.Time) (K, time.Time, bool) {
	agenda.dropStale()
	if len(agenda.entries) == 0 || agenda.entries[0].at.After(now) {
		var none K
		return none, time.Time{}, false
	}
	due := heap.Pop(&agenda.entries).(entry[K])
	delete(agenda.times, due.key)
	return due.key, due.at, true
}

// dropStale removes stale entries from the top of the heap.
func (agenda *Agenda[K]) dropStale() {
	for len(agenda.entries) > 0 && !agenda.isCurrent(agenda.entries[0]) {
		heap.Pop(&agenda.entries)
	}
}

func (agenda *Agenda[K]) isCurrent(entry entry[K]) bool {
	at, ok := agenda.times[entry.key]
	return ok && at.Equal(entry.at)
}

// The heap is rebuilt when it holds more than staleFactor entries for each key plus staleAllowance.
const (
	staleFactor    = 4
	staleAllowance = 16
)

// compact rebuilds the heap when it holds too many stale entries.
func (agenda *Agenda[K]) compact() {
	if len(agenda.entries) <= staleFactor*len(agenda.times)+staleAllowance {
		return
	}
	agenda.entries = agenda.entries[:0]
	for key, at := range agenda.times {
		agenda.entries = append(agenda.entries, entry[K]{at: at, key: key})
	}
	heap.Init(&agenda.entries)
}
