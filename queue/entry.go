package queue

import "time"

// Entry is one waiting request.
type Entry[T any] struct {
	// Tenant is the tenant that pays for the entry.
	Tenant string
	// Share is the weight of the tenant; zero means 1.
	Share int
	// Cost is the estimated cost in tokens, at least one.
	Cost int
	// Priority orders the entries of one tenant; a higher number goes first.
	Priority int
	// Deadline is the time by which the entry must have left the queue.
	Deadline time.Time
	// Item is the queued value.
	Item T

	// flow is the tenant's flow, or nil if the entry is not in a queue.
	flow *flow[T]
}

// Waiting reports whether the entry is in a queue.
func (entry *Entry[T]) Waiting() bool {
	return entry.flow != nil
}
