package dispatch

import "context"

// Transfers limits the adapter transfers from the weight store.
type Transfers interface {
	// Acquire waits for a permit until the context ends. The permit is given back by calling release.
	Acquire(ctx context.Context) (release func(), err error)
}
