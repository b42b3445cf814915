package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/internal/lifetime"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// Do runs the request and writes the response to the sink. It returns nil after a complete response, else an
// *outcome.Error, which is also sent as an event if a stream had begun. The end of ctx means that the caller
// has disconnected or that the total time of the request has passed. What still runs at the end of a drain is ended.
func (dispatcher *Dispatcher) Do(ctx context.Context, req request.Request, sink request.Sink) error {
	ctx, release := lifetime.Join(ctx, dispatcher.lifetime)
	defer release()
	transaction := &transaction{dispatcher: dispatcher, req: req, sink: sink}
	failure := dispatcher.enter()
	if failure == nil {
		defer dispatcher.leave(1)
		failure = transaction.process(ctx)
	}
	if failure != nil {
		failure = transaction.findRecorded(ctx, failure)
	}
	return transaction.end(failure)
}

// enter counts a new request, or refuses it if the dispatcher is stopping.
func (dispatcher *Dispatcher) enter() *outcome.Error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.stopping {
		return outcome.New(outcome.Stopping, "the daemon takes no new requests").WithRetryAfter(stoppingRetryAfter)
	}
	dispatcher.serving++
	dispatcher.active++
	return nil
}

// runInBackground runs the work in a goroutine that counts as active, so that Drain waits for it.
func (dispatcher *Dispatcher) runInBackground(work func()) {
	dispatcher.mutex.Lock()
	dispatcher.active++
	dispatcher.mutex.Unlock()
	go func() {
		defer dispatcher.leave(0)
		work()
	}()
}

// leave ends one unit of active work and the given number of requests, which is zero or one.
func (dispatcher *Dispatcher) leave(requests int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.serving -= requests
	if dispatcher.counting {
		dispatcher.finished += requests
	}
	dispatcher.active--
	if dispatcher.stopping && dispatcher.active == 0 {
		close(dispatcher.emptied)
	}
}

// end checks the invariants, sends the failure to a stream that has begun and returns it.
func (transaction *transaction) end(failure *outcome.Error) error {
	invariant.Check(!transaction.ended, invariant.EndsOnce, "Request", transaction.req.ID)
	transaction.ended = true
	if failure == nil {
		return nil
	}
	consistent := failure.Kind.Entry().Execution != outcome.NotRun || !transaction.mayHaveRun
	invariant.Check(consistent, invariant.NotRunNeverSent, "Request", transaction.req.ID, "Kind", failure.Kind.String())
	if failure.RetryAfter == 0 && failure.Kind.Entry().Advice != outcome.Never {
		failure = failure.WithRetryAfter(minRetryAfter)
	}
	if transaction.sink.Begun() {
		transaction.sendError(failure)
	}
	return failure
}
