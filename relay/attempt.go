package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// MaxResponseBytes is the largest response, in bytes, that is read whole before it is passed on.
const MaxResponseBytes = 8 << 20

// errLongResponse is the failure of a response larger than MaxResponseBytes.
var errLongResponse = errors.New("the response is over the limit ResponseBytes of 8388608 bytes")

// result is the outcome of one attempt.
type result struct {
	// done is set if the client has received its final response.
	done bool
	// failure is the reason if done is not set.
	failure *outcome.Error
	// notRun is set if the replica certainly did not run the request, and unsent if it received no byte of it.
	notRun, unsent bool
	// misdirected is set if the request reached another replica, or one without the model.
	misdirected bool
	// reserved is set if the retry budget was already asked for the next attempt.
	reserved bool
	// endedBy tells who ended an attempt that failed.
	endedBy Ender
}

// attempt sends the request to the candidate and passes the response on, and does so at the successors of attempts that stall. It
// returns the last of these replicas and what came of it.
func (transaction *transaction) attempt(ctx context.Context, candidate balance.Candidate) (balance.Candidate, result) {
	current := transaction.open(ctx, candidate)
	for {
		current.handover = transaction.startHandover(ctx, current)
		result := transaction.receive(current)
		successor := current.handover.finish(transaction, result)
		if successor == nil {
			return current.candidate, result
		}
		transaction.logFailure(current.candidate, result)
		current = successor
	}
}

// receive waits for the response to the attempt and passes it on.
func (transaction *transaction) receive(leg *leg) (received result) {
	defer leg.end()
	defer func() { received.endedBy = enderOf(leg.ctx) }()
	leg.await()
	if leg.lent {
		return transaction.receiveLent(leg)
	}
	if leg.err != nil {
		return transaction.failAttempt(leg.ctx, leg.candidate, leg.err)
	}
	if leg.reply.NotRun {
		return transaction.rejectAttempt(leg.candidate, leg.reply)
	}
	return transaction.passOn(leg)
}

// receiveLent passes the response of another daemon on to the client.
func (transaction *transaction) receiveLent(lent *leg) result {
	failed := transaction.endLent(lent)
	if lent.err != nil {
		return failed
	}
	lent.candidate.Release = lent.release
	transaction.lending, transaction.summary.Lender = true, lent.lender
	defer func() { transaction.lending = false }()
	return transaction.passOn(lent)
}

// passOn passes the response to the attempt on to the client.
func (transaction *transaction) passOn(leg *leg) result {
	reply := leg.reply
	if transaction.sink.Begun() && !(reply.Success() && reply.EventStream) {
		return transaction.endResumption(leg.candidate, outcome.UpstreamLost, "the replica did not resume the stream: "+http.StatusText(reply.Status))
	}
	if transaction.route.Kind == topology.Streaming && reply.Success() {
		return transaction.stream(leg)
	}
	return transaction.completeResponse(leg)
}

// endAt records the end of an attempt at the candidate.
func (transaction *transaction) endAt(candidate balance.Candidate, failed bool) {
	if !transaction.lending {
		transaction.relay.deps.Balancer.Done(candidate.Incarnation, failed, transaction.relay.deps.Clock.Now())
	}
}

// cancelAt records the end of an attempt that says nothing about the health of the candidate.
func (transaction *transaction) cancelAt(candidate balance.Candidate) {
	if !transaction.lending {
		transaction.relay.deps.Balancer.Cancel(candidate.Incarnation)
	}
}

// markSent records that the request is sent to the replica, and reports whether it was before.
func (transaction *transaction) markSent(replica topology.Incarnation) bool {
	if slices.Contains(transaction.sentTo, replica) {
		return true
	}
	transaction.sentTo = append(transaction.sentTo, replica)
	return false
}

// priority returns the priority that is sent to engines: that of the account, or else of the route, limited to the range 0 to 9 that
// they accept.
func (transaction *transaction) priority() int {
	const lowest = 9
	priority := transaction.route.Priority
	if account := transaction.request.Account; account != nil && account.HasPriority {
		priority = account.Priority
	}
	return min(max(priority, 0), lowest)
}

// failAttempt ends an attempt that got no usable response.
func (transaction *transaction) failAttempt(ctx context.Context, candidate balance.Candidate, err error) result {
	now := transaction.relay.deps.Clock.Now()
	if errors.Is(err, exchange.ErrNotSent) {
		transaction.runs--
		transaction.relay.deps.Limiter.Return(transaction.permit, now)
		if ctx.Err() != nil {
			transaction.cancelAt(candidate)
			return result{failure: contextFailure(ctx, transaction.runs > 0), notRun: true, unsent: true}
		}
		transaction.endAt(candidate, true)
		transaction.unreached++
		failure := outcome.New(outcome.UpstreamRefused, "%s", err.Error()).WithRetryAfter(retryAfterBusy)
		return result{failure: failure, notRun: true, unsent: true}
	}
	if ctx.Err() != nil && saysNoResponse(context.Cause(ctx)) && !transaction.lending {
		transaction.relay.deps.Suspects.NoResponse(transaction.causes, CrashOf(candidate.Incarnation), now)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStalled) && !errors.Is(context.Cause(ctx), bytebudget.ErrShort) {
		deadlinePassed := errors.Is(context.Cause(ctx), errDeadline)
		if deadlinePassed {
			transaction.endAt(candidate, true)
		} else {
			transaction.cancelAt(candidate)
		}
		return result{failure: contextFailure(ctx, true)}
	}
	transaction.endAt(candidate, true)
	if errors.Is(err, exchange.ErrReset) {
		transaction.resets++
	}
	if ctx.Err() == nil && !transaction.lending && brokeOff(err) {
		transaction.countCrash(candidate, now)
	}
	if errors.Is(err, exchange.ErrInvalidResponse) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "%s", err.Error())}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "%s", err.Error()), reserved: errors.Is(err, ErrSilent)}
}

// saysNoResponse reports whether the cancellation cause of an attempt is that the client or this daemon waited long enough.
func saysNoResponse(cause error) bool {
	return !errors.Is(cause, errStopped) && !errors.Is(cause, errOvertaken) && !errors.Is(cause, bytebudget.ErrShort)
}

// rejectAttempt ends an attempt that the replica proved not to have run.
func (transaction *transaction) rejectAttempt(candidate balance.Candidate, reply *exchange.Reply) result {
	transaction.runs--
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, MaxResponseBytes))
	transaction.cancelAt(candidate)
	if !reply.Misdirected {
		transaction.relay.deps.Balancer.ObserveRejection(candidate)
	}
	if guard := transaction.relay.deps.Brittle; guard != nil && !reply.Misdirected {
		guard.Rejected(candidate.Incarnation, transaction.relay.deps.Clock.Now())
	}
	if !reply.Misdirected && transaction.service.Engine != nil {
		transaction.lowerCeiling(candidate)
	}
	failure := outcome.New(outcome.UpstreamRefused, "%s", "the replica did not run the request: "+http.StatusText(reply.Status))
	return result{failure: failure.WithRetryAfter(retryAfterBusy), notRun: true, misdirected: reply.Misdirected}
}

// endResumption ends an attempt to resume a stream whose response has nothing that may follow what the client has.
func (transaction *transaction) endResumption(candidate balance.Candidate, kind outcome.Kind, reason string) result {
	transaction.endAt(candidate, true)
	return result{failure: outcome.New(kind, "%s", reason)}
}

// completeResponse is a response whose body was read to its end.
type completeResponse struct {
	reply *exchange.Reply
	// body is the body in pieces, and held what counts for it until it is delivered or dropped.
	body [][]byte
	held *bytebudget.Account
}

// deliver passes the response on to the client.
func (completeResponse *completeResponse) deliver(sink Sink) {
	defer completeResponse.held.Close()
	length := 0
	for _, piece := range completeResponse.body {
		length += len(piece)
	}
	sink.Head(completeResponse.reply.Status, completeResponse.reply.Header, int64(length))
	for _, piece := range completeResponse.body {
		if len(piece) > 0 && sink.Write(piece) != nil {
			// The client has disconnected; nothing is left to do.
			return
		}
	}
}

// completeResponse reads the response to its end and passes it on, unless it is a failure that may be retried at
// another replica.
func (transaction *transaction) completeResponse(leg *leg) result {
	reply := leg.reply
	response, err := transaction.readWhole(leg)
	if err != nil {
		return transaction.failAttempt(leg.ctx, leg.candidate, lostError(err))
	}
	if !reply.Signed && reply.Success() {
		response.held.Close()
		return transaction.failAttempt(leg.ctx, leg.candidate, exchange.ErrInvalidResponse)
	}
	leg.record.event()
	failed := reply.Status >= http.StatusInternalServerError
	transaction.endAt(leg.candidate, failed)
	if failed && transaction.route.Repeatable() && transaction.runs < transaction.maxRuns {
		transaction.keepFailed(response)
		return result{failure: outcome.New(outcome.UpstreamLost, "%s", "the replica failed: "+http.StatusText(reply.Status))}
	}
	transaction.countAnswer(reply.Success())
	leg.record.showLife()
	transaction.nameSender()
	response.deliver(transaction.sink)
	return result{done: true}
}

// readWhole reads the body of the response to its end. The bytes held count until the response is delivered or dropped.
func (transaction *transaction) readWhole(leg *leg) (*completeResponse, error) {
	held := transaction.relay.deps.Held.Open(leg.source(), leg.cancel)
	body, err := bytebudget.Read(leg.reply.Body, MaxResponseBytes, held)
	if err == nil {
		err = held.Keep()
	}
	if err == nil {
		return &completeResponse{reply: leg.reply, body: body, held: held}, nil
	}
	held.Close()
	if errors.Is(err, bytebudget.ErrLong) {
		return nil, errLongResponse
	}
	return nil, err
}

// keepFailed keeps the response of a replica that failed in place of an earlier one.
func (transaction *transaction) keepFailed(response *completeResponse) {
	transaction.dropFailed()
	transaction.failedResponse = response
}

// dropFailed drops the response of a replica that failed, if there is one.
func (transaction *transaction) dropFailed() {
	if transaction.failedResponse != nil {
		transaction.failedResponse.held.Close()
	}
	transaction.failedResponse = nil
}
