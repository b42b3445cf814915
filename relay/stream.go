package relay

import (
	"errors"
	"io"
	"time"

	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
)

// stream passes on complete events as they arrive.
func (transaction *transaction) stream(leg *leg) result {
	reply := leg.reply
	if !reply.Signed {
		return transaction.failAttempt(leg.ctx, leg.candidate, exchange.ErrInvalidResponse)
	}
	splitter := newSplitter()
	defer splitter.release()
	resumed := transaction.sink.Begun() && transaction.reached.last.Known()
	for {
		events, err := splitter.next(reply.Body)
		if resumed && hasUnnumbered(events) {
			return transaction.endResumption(leg.candidate, outcome.AnswerInvalid, "the resumed stream has an event without a number")
		}
		if len(events) > 0 {
			content := hasContent(events)
			if content {
				leg.record.event()
			}
			transaction.recordOrigin(leg.ctx, leg.candidate)
			if failure := transaction.forward(reply, events); failure != nil {
				transaction.cancelAt(leg.candidate)
				return result{failure: failure}
			}
			if content {
				leg.handover.advance(transaction)
			}
		}
		if errors.Is(err, io.EOF) && !splitter.partial() && !transaction.endsBeforeItsBegin(reply) {
			return transaction.finishStream(leg)
		}
		if err != nil {
			return transaction.failAttempt(leg.ctx, leg.candidate, lostError(err))
		}
	}
}

// endsBeforeItsBegin reports whether a stream that ended with its connection had no event: its replica may have ended before
// it sent one. A resumed stream may have no further event.
func (transaction *transaction) endsBeforeItsBegin(reply *exchange.Reply) bool {
	return reply.Unframed && !transaction.sink.Begun() && !transaction.request.Metadata.LastEventID.Known()
}

// forward passes on the events that the client has not received yet.
func (transaction *transaction) forward(reply *exchange.Reply, events []byte) *outcome.Error {
	fresh, reached := eventsAfter(events, transaction.reached)
	if len(fresh) == 0 {
		return nil
	}
	if !transaction.sink.Begun() {
		transaction.nameSender()
		transaction.sink.Head(reply.Status, reply.Header, -1)
	}
	if err := transaction.sink.Write(fresh); err != nil {
		return outcome.New(outcome.CallerGone, "the client takes no more of the answer")
	}
	transaction.reached, transaction.brokenAt = reached, time.Time{}
	return nil
}

// finishStream ends the attempt of a stream that is complete.
func (transaction *transaction) finishStream(leg *leg) result {
	if !transaction.sink.Begun() {
		transaction.nameSender()
		transaction.sink.Head(leg.reply.Status, leg.reply.Header, -1)
	}
	transaction.endAt(leg.candidate, false)
	transaction.countAnswer(true)
	leg.record.showLife()
	return result{done: true}
}
