package dispatch

import (
	"context"
	"time"
)

// stoppingRetryAfter is the delay after which another daemon has taken over from one that stops.
const stoppingRetryAfter = time.Second

// DrainResult is the result of a drain.
type DrainResult struct {
	// Finished is the number of requests that ended during the drain.
	Finished int
	// Unfinished is the number of requests that still ran when the context ended.
	Unfinished int
}

// AnnounceDrain starts the count of DrainResult.Finished. New requests are still accepted. Without it the
// count starts with Drain.
func (dispatcher *Dispatcher) AnnounceDrain() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.counting = true
	dispatcher.finished = 0
}

// Drain refuses new requests and waits until the active ones have ended and their responses are recorded, or
// until the context ends. It must be called once only.
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

// stop refuses new requests from now on.
func (dispatcher *Dispatcher) stop() {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if !dispatcher.stopping {
		dispatcher.stopping = true
		if dispatcher.active == 0 {
			close(dispatcher.emptied)
		}
	}
	dispatcher.counting = true
}
