package relay

import (
	"context"
	"errors"
	"io"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
)

// stream passes whole events on as they arrive.
func (journey *journey) stream(ctx context.Context, candidate balance.Candidate, reply *exchange.Reply, watch *watch, opening *opening) result {
	if !reply.Signed {
		return journey.broken(ctx, candidate, exchange.ErrInvalidResponse)
	}
	splitter := &splitter{}
	for {
		events, err := splitter.next(reply.Body)
		if len(events) > 0 {
			if tells(events) {
				watch.hear()
				opening.begin()
			}
			if failure := journey.forward(reply, events); failure != nil {
				journey.relay.deps.Balancer.Cancel(candidate.Incarnation)
				return result{failure: failure}
			}
		}
		if errors.Is(err, io.EOF) && !splitter.partial() {
			return journey.streamed(candidate, reply)
		}
		if err != nil {
			return journey.broken(ctx, candidate, errors.Join(exchange.ErrLost, err))
		}
	}
}

// forward passes events on that the client does not have yet.
func (journey *journey) forward(reply *exchange.Reply, events []byte) *outcome.Error {
	fresh, last := after(events, journey.last)
	if len(fresh) == 0 {
		return nil
	}
	if !journey.sink.Begun() {
		journey.sink.Head(reply.Status, reply.Header, -1)
	}
	if err := journey.sink.Write(fresh); err != nil {
		return outcome.New(outcome.CallerGone, "the client takes no more of the answer")
	}
	journey.last = last
	return nil
}

// streamed ends a stream that is complete.
func (journey *journey) streamed(candidate balance.Candidate, reply *exchange.Reply) result {
	if !journey.sink.Begun() {
		journey.sink.Head(reply.Status, reply.Header, -1)
	}
	journey.relay.deps.Balancer.Done(candidate.Incarnation, false, journey.relay.deps.Clock.Now())
	journey.relay.deps.Suspects.Answered(journey.fingerprint)
	return result{done: true}
}
