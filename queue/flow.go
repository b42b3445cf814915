package queue

import "slices"

// flow is the part of one tenant in a queue.
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

// insert adds the entry behind those of its priority or a higher one.
func (flow *flow[T]) insert(entry *Entry[T]) {
	at := len(flow.entries)
	for at > 0 && flow.entries[at-1].Priority < entry.Priority {
		at--
	}
	flow.entries = slices.Insert(flow.entries, at, entry)
	flow.cost += entry.Cost
	entry.flow = flow
}

// remove takes the entry out.
func (flow *flow[T]) remove(entry *Entry[T]) {
	at := slices.Index(flow.entries, entry)
	flow.entries = slices.Delete(flow.entries, at, at+1)
	flow.cost -= entry.Cost
	entry.flow = nil
}

// last returns the entry that would leave last.
func (flow *flow[T]) last() *Entry[T] {
	return flow.entries[len(flow.entries)-1]
}
