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

// Announce begins the count of Drained.Finished at requests that end from now on. Requests are still taken.
// Without it the count begins with Drain.
func (dispatcher *Dispatcher) Announce() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.announced = true
	dispatcher.finished = 0
}

// Drain takes no new requests and waits for the active ones, and for the records of their answers, until they
// ended or the context ends.
// It may be called once.
func (dispatcher *Dispatcher) Drain(ctx context.Context) Drained {
	dispatcher.stop()
	select {
	case <-dispatcher.emptied:
	case <-ctx.Done():
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return Drained{Finished: dispatcher.finished, Cut: dispatcher.serving}
}

// stop refuses requests from now on.
func (dispatcher *Dispatcher) stop() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if !dispatcher.stopping {
		dispatcher.stopping = true
		if dispatcher.active == 0 {
			close(dispatcher.emptied)
		}
	}
	dispatcher.announced = true
}
