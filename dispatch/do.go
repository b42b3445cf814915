package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// Do answers the request through the sink. It returns nil once the sink got the whole answer,
// and else an *outcome.Error; in a stream that began, the error was also told as an event.
// The end of ctx means that the caller is gone or that its total time is over.
func (dispatcher *Dispatcher) Do(ctx context.Context, req request.Request, sink request.Sink) error {
	journey := &journey{dispatcher: dispatcher, req: req, sink: sink}
	failure := dispatcher.enter()
	if failure == nil {
		defer dispatcher.leave(1)
		failure = journey.walk(ctx)
	}
	if failure != nil {
		failure = journey.earlier(ctx, failure)
	}
	return journey.end(failure)
}

// enter counts the request in unless the dispatcher is stopping.
func (dispatcher *Dispatcher) enter() *outcome.Error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	if dispatcher.stopping {
		return outcome.New(outcome.Stopping, "the daemon takes no new requests").WithRetryAfter(stoppingRetry)
	}
	dispatcher.serving++
	dispatcher.active++
	return nil
}

// behind runs the work while the request counts as active, without the caller waiting for it.
func (dispatcher *Dispatcher) behind(work func()) {
	dispatcher.mutex.Lock()
	dispatcher.active++
	dispatcher.mutex.Unlock()
	go func() {
		defer dispatcher.leave(0)
		work()
	}()
}

// leave counts active work out, and with it one request or none.
func (dispatcher *Dispatcher) leave(requests int) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	dispatcher.serving -= requests
	if dispatcher.announced {
		dispatcher.finished += requests
	}
	dispatcher.active--
	if dispatcher.stopping && dispatcher.active == 0 {
		close(dispatcher.emptied)
	}
}

// end asserts the invariants, tells a begun stream of the failure and returns it.
func (journey *journey) end(failure *outcome.Error) error {
	invariant.Check(!journey.ended, invariant.EndsOnce, "Request", journey.req.ID)
	journey.ended = true
	if failure == nil {
		return nil
	}
	truthful := failure.Kind.Entry().Execution != outcome.NotRun || !journey.mayHaveRun
	invariant.Check(truthful, invariant.TrueWord, "Request", journey.req.ID, "Kind", failure.Kind.String())
	if failure.RetryAfter == 0 && failure.Kind.Entry().Advice != outcome.Never {
		failure = failure.WithRetryAfter(minRetry)
	}
	if journey.sink.Begun() {
		journey.tell(failure)
	}
	return failure
}
