package dispatch

import "context"

// Transfers limits the adapter transfers from the weight store.
type Transfers interface {
	// Acquire waits for a permit until the context ends. The caller must call release to return the permit.
	Acquire(ctx context.Context) (release func(), err error)
}
