package queue

import "slices"

// flow holds the entries of one tenant.
type flow[T any] struct {
	tenant string
	// share is the weight of the tenant, at least one.
	share int
	// entries is ordered by priority, then by arrival.
	entries []*Entry[T]
	// cost is the sum of the costs of entries.
	cost int
	// start is the virtual start time of the first entry.
	start float64
}

// insert adds the entry after those of its priority or a higher one.
func (flow *flow[T]) insert(entry *Entry[T]) {
	index := len(flow.entries)
	for index > 0 && flow.entries[index-1].Priority < entry.Priority {
		index--
	}
	flow.entries = slices.Insert(flow.entries, index, entry)
	flow.cost += entry.Cost
	entry.flow = flow
}

// remove removes the entry.
func (flow *flow[T]) remove(entry *Entry[T]) {
	index := slices.Index(flow.entries, entry)
	flow.entries = slices.Delete(flow.entries, index, index+1)
	flow.cost -= entry.Cost
	entry.flow = nil
}

// last returns the last entry.
func (flow *flow[T]) last() *Entry[T] {
	return flow.entries[len(flow.entries)-1]
}
