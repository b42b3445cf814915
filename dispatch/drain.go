package dispatch

import (
	"context"
	"time"
)

// stoppingRetry is the delay after which another daemon has taken over from one that stops.
const stoppingRetry = time.Second

// DrainResult tells how a drain ended.
type DrainResult struct {
	// Finished is the number of requests that ended by themselves.
	Finished int
	// Unfinished is the number of requests that still ran when the context ended.
	Unfinished int
}

// AnnounceDrain begins the count of Drained.Finished at requests that end from now on. Requests are still taken.
// Without it the count begins with Drain.
func (dispatcher *Dispatcher) AnnounceDrain() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.announced = true
	dispatcher.finished = 0
}

// Drain takes no new requests and waits for the active ones, and for the records of their answers, until they
// ended or the context ends.
// It may be called once.
func (dispatcher *Dispatcher) Drain(ctx context.Context) DrainResult {
	dispatcher.stop()
	select {
	case <-dispatcher.emptied:
	case <-ctx.Done():
	}
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	return DrainResult{Finished: dispatcher.finished, Unfinished: dispatcher.serving}
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
