package agenda

import (
	"cmp"
	"container/heap"
	"time"
)

// Agenda holds at most one time for each key. Use New. It is not safe for concurrent use.
type Agenda[K cmp.Ordered] struct {
	// times holds the time of each key that has one.
	times map[K]time.Time
	// entries is a heap by time; entries that differ from times are void.
	entries entries[K]
}

// New returns an empty agenda.
func New[K cmp.Ordered]() *Agenda[K] {
	return &Agenda[K]{times: map[K]time.Time{}}
}

// Schedule sets the time of the key in place of a former one. The zero time removes it.
// It costs the logarithm of the number of keys.
func (agenda *Agenda[K]) Schedule(key K, at time.Time) {
	if at.IsZero() {
		delete(agenda.times, key)
		return
	}
	agenda.times[key] = at
	heap.Push(&agenda.entries, entry[K]{at: at, key: key})
	agenda.trim()
}

// At returns the time of the key, or the zero time.
func (agenda *Agenda[K]) At(key K) time.Time {
	return agenda.times[key]
}

// Next returns the earliest time, or the zero time if the agenda is empty.
func (agenda *Agenda[K]) Next() time.Time {
	agenda.skip()
	if len(agenda.entries) == 0 {
		return time.Time{}
	}
	return agenda.entries[0].at
}

// Pop removes the earliest key, by time and then key, whose time is not after
// now. It reports false if there is none.
func (agenda *Agenda[K]) Pop(now time.Time) (K, time.Time, bool) {
	agenda.skip()
	if len(agenda.entries) == 0 || agenda.entries[0].at.After(now) {
		var none K
		return none, time.Time{}, false
	}
	due := heap.Pop(&agenda.entries).(entry[K])
	delete(agenda.times, due.key)
	return due.key, due.at, true
}

// skip removes void entries from the top.
func (agenda *Agenda[K]) skip() {
	for len(agenda.entries) > 0 && !agenda.valid(agenda.entries[0]) {
		heap.Pop(&agenda.entries)
	}
}

func (agenda *Agenda[K]) valid(entry entry[K]) bool {
	at, ok := agenda.times[entry.key]
	return ok && at.Equal(entry.at)
}

// Bounds on void entries: at most voidFactor for each key, and voidLeast.
const (
	voidFactor = 4
	voidLeast  = 16
)

// trim rebuilds the heap when it holds many void entries.
func (agenda *Agenda[K]) trim() {
	if len(agenda.entries) <= voidFactor*len(agenda.times)+voidLeast {
		return
	}
	agenda.entries = agenda.entries[:0]
	for key, at := range agenda.times {
		agenda.entries = append(agenda.entries, entry[K]{at: at, key: key})
	}
	heap.Init(&agenda.entries)
}
