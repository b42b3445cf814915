package dispatch

import (
	"context"
	"errors"
	"time"
)

const (
	// stoppingRetryAfter is the delay after which another daemon has taken over from one that stops.
	stoppingRetryAfter = time.Second
	// finalAnswerTime is the time in which the requests that a drain cuts get their final response.
	finalAnswerTime = time.Second
)

// errStopped is the cancellation cause of the requests that a drain cuts.
var errStopped = errors.New("the daemon stops")

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
// until the context ends. It then ends those that still run with their final responses, which takes finalAnswerTime at
// most. It must be called once only.
func (dispatcher *Dispatcher) Drain(ctx context.Context) DrainResult {
	dispatcher.stop()
	select {
	case <-dispatcher.emptied:
	case <-ctx.Done():
	}
	result := dispatcher.drainResult()
	dispatcher.cut(errStopped)
	timer := dispatcher.clock.NewTimer(finalAnswerTime)
	defer timer.Stop()
	select {
	case <-dispatcher.emptied:
	case <-timer.C():
	}
	return result
}

// drainResult returns the result of the drain up to now.
func (dispatcher *Dispatcher) drainResult() DrainResult {
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
