package boundedqueue

import "context"

// Queue is a bounded first-in first-out queue. It is safe for concurrent use. Use New.
type Queue[T any] struct {
	// items has the capacity of the queue. It is never closed.
	items chan T
}

// New returns an empty queue that holds at most capacity items. It panics if capacity is below one.
func New[T any](capacity int) *Queue[T] {
	if capacity < 1 {
		panic("boundedqueue: capacity below one")
	}
	return &Queue[T]{items: make(chan T, capacity)}
}

// TryPut adds the item if there is free space and reports whether it did.
func (queue *Queue[T]) TryPut(item T) bool {
	select {
	case queue.items <- item:
		return true
	default:
		return false
	}
}

// Put adds the item. It waits for free space until the context ends, and then returns the error of the context.
func (queue *Queue[T]) Put(ctx context.Context, item T) error {
	select {
	case queue.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest item. It waits for an item until the context ends, and then returns the
// error of the context.
func (queue *Queue[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-queue.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items returns the channel of the items, for receiving in a select statement.
func (queue *Queue[T]) Items() <-chan T {
	return queue.items
}

// Len returns the number of items in the queue.
func (queue *Queue[T]) Len() int {
	return len(queue.items)
}
