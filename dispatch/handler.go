package dispatch

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
)

// handler processes one request in a dispatcher.
type handler struct {
	dispatcher *Dispatcher
	req        request.Request
	sink       request.Sink
	// attempts is the number of attempts, and ran the number of those that may have run.
	attempts, ran int
	// mayHaveRun states that an upstream may have run a part of the request.
	mayHaveRun bool
	// uncertainFailure is the failure of the latest attempt that may have run, or nil.
	uncertainFailure *outcome.Error
	// last is the index of the last piece that was sent to the caller.
	last int
	// ticket is the claim that the request holds, or nil.
	ticket *claim.Ticket
	// resumeDeadline is when a stream that has begun must have found its next upstream, or zero while it has
	// one.
	resumeDeadline time.Time
	// leavingWatch tracks whether the upstream is leaving. exported is the generation to import on the next
	// upstream, or nil.
	leavingWatch leavingWatch
	exported     []byte
	// recorder keeps the response of a claimed request, or is nil.
	recorder *recorder
	// ended states that the request has ended.
	ended bool
}

// process runs the request until it ends and closes its claim.
func (handler *handler) process(ctx context.Context) *outcome.Error {
	requirements, failure := handler.requirements()
	if failure != nil {
		return failure
	}
	failure = handler.runAttempts(ctx, requirements)
	handler.closeClaim(ctx, failure)
	if failure == nil && handler.recorder != nil && handler.recorder.callerGone {
		return outcome.New(outcome.CallerGone, "the caller did not take the answer, which is kept for a resend")
	}
	return failure
}

// runAttempts runs attempts until one succeeds or no retry is allowed.
func (handler *handler) runAttempts(ctx context.Context, requirements route.Ask) *outcome.Error {
	for {
		req := handler.withNextDeadline()
		reservation, failure := handler.dispatcher.admit(ctx, &req, requirements, handler.attempts > 0 || requirements.Suspect)
		if failure != nil {
			return handler.overallFailure(failure)
		}
		last := handler.attempt(ctx, reservation)
		if last.migrated {
			requirements.Exclude = reservation.candidate.Upstream
			continue
		}
		if last.failure == nil {
			return nil
		}
		if last.busy {
			if failure := handler.dispatcher.refuseIfBusy(reservation.workload, &req); failure != nil {
				return handler.overallFailure(failure)
			}
			requirements = suspectRequirements(requirements, &handler.req)
			handler.pause(ctx, reserveRetryDelay)
			continue
		}
		if !last.notRun {
			handler.uncertainFailure = last.failure
		}
		if !handler.allowRetry(ctx, &last) {
			return handler.overallFailure(last.failure)
		}
		requirements.Exclude = reservation.candidate.Upstream
		requirements.Affinity = handler.req.Fingerprint
		requirements.Suspect = handler.isSuspect() || (last.unreachable && !handler.dispatcher.completed.Has(handler.req.Fingerprint))
		if requirements.Suspect {
			handler.pause(ctx, suspectPause)
		}
	}
}

// overallFailure returns the failure, or that of an earlier attempt if the request may have run.
func (handler *handler) overallFailure(failure *outcome.Error) *outcome.Error {
	if handler.mayHaveRun && failure.Kind.Entry().Word == outcome.NotRun {
		return handler.uncertainFailure.WithRetryAfter(max(failure.RetryAfter, handler.uncertainFailure.RetryAfter))
	}
	return failure
}

// suspectPause is how long a suspect waits for other daemons to publish their crashes.
const suspectPause = 500 * time.Millisecond

// pause delays a suspect, so that the suspects of other daemons arrive before it runs again.
func (handler *handler) pause(ctx context.Context, pause time.Duration) {
	timer := handler.dispatcher.clock.NewTimer(min(pause, max(handler.timeLeft(), 0)))
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// requirements returns the routing requirements of the request, or refuses a request that is quarantined.
func (handler *handler) requirements() (route.Ask, *outcome.Error) {
	req := &handler.req
	if failure := handler.dispatcher.quarantineFailure(req.Fingerprint); failure != nil {
		return route.Ask{}, failure
	}
	requirements := route.Ask{Affinity: cmp.Or(req.Prefix, req.Fingerprint), Adapter: req.Target.Adapter}
	if !handler.dispatcher.completed.Has(req.Fingerprint) {
		requirements.Spread = req.Fingerprint
	}
	if handler.isSuspect() {
		requirements = suspectRequirements(requirements, req)
	}
	return requirements, nil
}

// quarantineFailure returns the refusal of a request that crashed too many upstreams, or nil.
func (dispatcher *Dispatcher) quarantineFailure(fingerprint uint64) *outcome.Error {
	now := dispatcher.clock.Now()
	crashes, until := dispatcher.registry.Crashes(fingerprint, now)
	if !quarantine.Refused(crashes) {
		return nil
	}
	return outcome.New(outcome.Quarantined, "earlier sendings of the request crashed upstreams").WithRetryAfter(until.Sub(now))
}

// isSuspect reports whether the request was in flight on an upstream that crashed.
func (handler *handler) isSuspect() bool {
	crashes, _ := handler.dispatcher.registry.Crashes(handler.req.Fingerprint, handler.dispatcher.clock.Now())
	return crashes > 0
}

// suspectRequirements returns the routing requirements of a suspect. Equal suspects of all daemons prefer the same
// upstream.
func suspectRequirements(requirements route.Ask, req *request.Request) route.Ask {
	requirements.Suspect = true
	requirements.Affinity = req.Fingerprint
	return requirements
}

// notSentFailure returns the failure of a request whose context ended before it was sent.
func notSentFailure(ctx context.Context) *outcome.Error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errBeginDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the request was sent").WithRetryAfter(minRetryAfter)
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}

// cancelledFailure returns the failure of a request whose context ended while it ran.
func cancelledFailure(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineRunning, "the total time of the request is over")
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}

// resumeTimeout is the time within which a stream that has begun must find its next upstream.
const resumeTimeout = 10 * time.Second

// withNextDeadline returns the request with the deadline of its next attempt. A stream that has begun uses
// resumeDeadline instead of the deadline of the request.
func (handler *handler) withNextDeadline() request.Request {
	req := handler.req
	if !handler.sink.Begun() {
		return req
	}
	if handler.resumeDeadline.IsZero() {
		handler.resumeDeadline = handler.dispatcher.clock.Now().Add(resumeTimeout)
	}
	req.Deadline = handler.resumeDeadline
	return req
}

// timeLeft returns the time until the deadline of the next attempt.
func (handler *handler) timeLeft() time.Duration {
	req := handler.withNextDeadline()
	return req.Deadline.Sub(handler.dispatcher.clock.Now())
}
