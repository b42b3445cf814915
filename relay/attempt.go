package relay

import (
	"context"
	"errors"
	"io"
	"net/http"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/exchange"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// maxWhole bounds an answer that is read before it is passed on, in bytes.
const maxWhole = 8 << 20

// errSilent is the cause of an attempt that is given up because its replica is silent.
var errSilent = errors.New("replica is silent")

// result is how one attempt ended.
type result struct {
	// done states that the client has its final answer.
	done bool
	// failure is why not.
	failure *outcome.Error
	// notRun states that the replica provably did not run the request, and unsent that it got no byte.
	notRun, unsent bool
	// absent states that the replica is another one or lacks the model.
	absent bool
}

// attempt sends the request to the candidate and passes the answer on.
func (journey *journey) attempt(ctx context.Context, candidate balance.Candidate) result {
	opening := journey.open(candidate)
	defer opening.end()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watch := journey.watch(cancel)
	defer watch.stop()
	journey.sends++
	journey.runs++
	reply, err := journey.relay.deps.Upstream.Send(ctx, journey.request, exchange.Attempt{
		Replica:     candidate.Incarnation,
		Address:     candidate.Address,
		Budget:      journey.left(),
		Urgency:     urgency(journey.route),
		Ranked:      journey.service.Engine != nil,
		Once:        !journey.route.Repeatable(),
		ResumeAfter: journey.last,
	})
	if err != nil {
		return journey.broken(ctx, candidate, err)
	}
	defer reply.Body.Close()
	if reply.NotRun {
		return journey.rejected(candidate, reply)
	}
	if journey.route.Kind == topology.Streaming && reply.Success() {
		return journey.stream(ctx, candidate, reply, watch, opening)
	}
	return journey.whole(ctx, candidate, reply, opening)
}

// urgency returns the rank that engines are given: the priority of the route, within what they take.
func urgency(route *topology.Route) int {
	const lowest = 9
	return min(max(route.Priority, 0), lowest)
}

// broken ends an attempt without a usable answer.
func (journey *journey) broken(ctx context.Context, candidate balance.Candidate, err error) result {
	now := journey.relay.deps.Clock.Now()
	if errors.Is(err, exchange.ErrNotSent) {
		journey.runs--
		if ctx.Err() != nil {
			journey.relay.deps.Balancer.Withdraw(candidate.Incarnation)
			return result{failure: ended(ctx, journey.runs > 0), notRun: true, unsent: true}
		}
		journey.relay.deps.Balancer.Done(candidate.Incarnation, true, now)
		failure := outcome.New(outcome.UpstreamRefused, "%s", err.Error()).WithRetryAfter(retryAfterBusy)
		return result{failure: failure, notRun: true, unsent: true}
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errStopped) {
		journey.relay.deps.Suspects.NoResponse(journey.fingerprint, CrashOf(candidate.Incarnation), now)
	}
	if ctx.Err() != nil && !errors.Is(context.Cause(ctx), errSilent) {
		late := errors.Is(context.Cause(ctx), errDeadline)
		if late {
			journey.relay.deps.Balancer.Done(candidate.Incarnation, true, now)
		} else {
			journey.relay.deps.Balancer.Withdraw(candidate.Incarnation)
		}
		return result{failure: ended(ctx, true)}
	}
	journey.relay.deps.Balancer.Done(candidate.Incarnation, true, now)
	if ctx.Err() == nil {
		journey.countBreak(candidate, now)
	}
	if errors.Is(err, exchange.ErrForeign) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "%s", err.Error())}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "%s", err.Error())}
}

// rejected ends an attempt that the replica proved not to have run.
func (journey *journey) rejected(candidate balance.Candidate, reply *exchange.Reply) result {
	journey.runs--
	_, _ = io.Copy(io.Discard, io.LimitReader(reply.Body, maxWhole))
	journey.relay.deps.Balancer.Withdraw(candidate.Incarnation)
	failure := outcome.New(outcome.UpstreamRefused, "%s", "the replica did not run the request: "+http.StatusText(reply.Status))
	return result{failure: failure.WithRetryAfter(retryAfterBusy), notRun: true, absent: reply.Absent}
}

// whole is an answer that was read to its end.
type whole struct {
	reply *exchange.Reply
	body  []byte
}

// deliver passes the answer on.
func (whole *whole) deliver(sink Sink) {
	sink.Head(whole.reply.Status, whole.reply.Header, int64(len(whole.body)))
	if len(whole.body) > 0 {
		// A client that is gone needs no answer.
		_ = sink.Write(whole.body)
	}
}

// whole reads the answer to its end and passes it on, unless it is a failure that another replica may mend.
func (journey *journey) whole(ctx context.Context, candidate balance.Candidate, reply *exchange.Reply, opening *opening) result {
	content, err := io.ReadAll(io.LimitReader(reply.Body, maxWhole+1))
	if err != nil || len(content) > maxWhole {
		return journey.broken(ctx, candidate, errors.Join(exchange.ErrLost, err))
	}
	if !reply.Signed && reply.Success() {
		return journey.broken(ctx, candidate, exchange.ErrForeign)
	}
	opening.begin()
	now := journey.relay.deps.Clock.Now()
	failed := reply.Status >= http.StatusInternalServerError
	journey.relay.deps.Balancer.Done(candidate.Incarnation, failed, now)
	answer := &whole{reply, content}
	if failed && journey.route.Repeatable() && !journey.sink.Begun() && journey.runs < journey.route.MaxAttempts {
		journey.failed = answer
		return result{failure: outcome.New(outcome.UpstreamLost, "%s", "the replica failed: "+http.StatusText(reply.Status))}
	}
	if journey.sink.Begun() {
		return result{failure: outcome.New(outcome.UpstreamLost, "the replica did not resume the stream")}
	}
	journey.relay.deps.Suspects.Answered(journey.fingerprint)
	answer.deliver(journey.sink)
	return result{done: true}
}
