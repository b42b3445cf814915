package dispatch

import (
	"context"
	"time"
)

// stoppingRetry is the delay after which another daemon has taken over from one that stops.
const stoppingRetry = time.Second

// Drained tells how a drain ended.
type Drained struct {
	// Finished is the number of requests that ended by themselves.
	Finished int
	// Cut is the number of requests that still ran when the context ended.
	Cut int
}

// Drain takes no new requests and waits for the active ones, and for the records of their answers, until they
// ended or the context ends.
// It may be called once.
func (dispatcher *Dispatcher) Drain(ctx context.Context) Drained {
	before := dispatcher.stop()
	select {
	case <-dispatcher.emptied:
	case <-ctx.Done():
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return Drained{Finished: before - dispatcher.serving, Cut: dispatcher.serving}
}

// stop refuses requests from now on and returns the number of active ones.
func (dispatcher *Dispatcher) stop() int {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if !dispatcher.stopping {
		dispatcher.stopping = true
		if dispatcher.active == 0 {
			close(dispatcher.emptied)
		}
	}
	return dispatcher.serving
}
