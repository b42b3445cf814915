package agenda

import (
	"cmp"
	"time"
)

// entry is one due time of one key.
type entry[K cmp.Ordered] struct {
	at  time.Time
	key K
}

// entries implements heap.Interface, ordered by time and then key.
type entries[K cmp.Ordered] []entry[K]

// Len returns the number of entries.
func (entries entries[K]) Len() int { return len(entries) }

// Less orders by time, then key.
func (entries entries[K]) Less(i, j int) bool {
	if !entries[i].at.Equal(entries[j].at) {
		return entries[i].at.Before(entries[j].at)
	}
	return entries[i].key < entries[j].key
}

// Swap swaps two entries.
func (entries entries[K]) Swap(i, j int) { entries[i], entries[j] = entries[j], entries[i] }

// Push adds an entry at the end.
func (entries *entries[K]) Push(item any) { *entries = append(*entries, item.(entry[K])) }

// Pop removes the entry at the end.
func (entries *entries[K]) Pop() any {
	last := (*entries)[len(*entries)-1]
	*entries = (*entries)[:len(*entries)-1]
	return last
}
