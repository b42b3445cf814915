package ring

import "context"

// Ring is a bounded first-in first-out queue. It is safe for concurrent use. Use New.
type Ring[T any] struct {
	// items has the capacity of the ring. It is never closed.
	items chan T
}

// New returns an empty ring that holds at most capacity items. It panics if capacity is below one.
func New[T any](capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity below one")
	}
	return &Ring[T]{items: make(chan T, capacity)}
}

// TryPut adds the item if there is free space and reports whether it did.
func (ring *Ring[T]) TryPut(item T) bool {
	select {
	case ring.items <- item:
		return true
	default:
		return false
	}
}

// Put adds the item. It waits for free space until the context ends, and then returns the error of the context.
func (ring *Ring[T]) Put(ctx context.Context, item T) error {
	select {
	case ring.items <- item:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Take removes and returns the oldest item. It waits for an item until the context ends, and then returns the
// error of the context.
func (ring *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-ring.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items returns the channel of the items, for receiving in a select statement.
func (ring *Ring[T]) Items() <-chan T {
	return ring.items
}

// Len returns the number of items in the ring.
func (ring *Ring[T]) Len() int {
	return len(ring.items)
}
