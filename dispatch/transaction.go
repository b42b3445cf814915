package dispatch

import (
	"cmp"
	"context"
	"time"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
)

// transaction is the state of one request in a dispatcher until its final response.
type transaction struct {
	dispatcher *Dispatcher
	req        request.Request
	sink       request.Sink
	progress
	// last is the index of the last piece that was sent to the caller. version and release are those of the model
	// and of the engine's software that the stream to the caller began with.
	last             int
	version, release string
	// ticket is the claim that the request holds, or nil.
	ticket *claim.Ticket
	// resumeDeadline is when a stream that has begun must have found its next upstream, or zero while it has
	// one.
	resumeDeadline time.Time
	// nextDelay is the delay before the next try of a stream that has begun and that no upstream takes.
	nextDelay time.Duration
	// leavingWatch tracks whether the upstream is leaving. exported is the generation to import on the next
	// upstream, and reserved the slot there. Both are nil for a stream that does not migrate.
	leavingWatch leavingWatch
	exported     []byte
	reserved     *reservation
	// recorder keeps the response of a claimed request, or is nil.
	recorder *recorder
	// ended states that the request has ended.
	ended bool
}

// progress is what has been made of a request.
type progress struct {
	// attempts is the number of attempts, and ran the number of those that may have run.
	attempts, ran int
	// mayHaveRun states that an upstream may have run a part of the request.
	mayHaveRun bool
	// uncertainFailure is the failure of the latest attempt that may have run, or nil.
	uncertainFailure *outcome.Error
}

// process runs the request until it ends and closes its claim.
func (transaction *transaction) process(ctx context.Context) *outcome.Error {
	requirements, failure := transaction.requirements()
	if failure != nil {
		return failure
	}
	failure = transaction.runAttempts(ctx, requirements)
	transaction.closeClaim(ctx, failure)
	if failure == nil && transaction.recorder != nil && transaction.recorder.callerGone {
		return outcome.New(outcome.CallerGone, "the caller did not take the answer, which is kept for a resend")
	}
	return failure
}

// runAttempts runs attempts until one succeeds or no retry is allowed.
func (transaction *transaction) runAttempts(ctx context.Context, requirements route.Requirements) *outcome.Error {
	for {
		req := transaction.withNextDeadline()
		reservation, failure := transaction.nextReservation(ctx, &req, requirements)
		if failure != nil && transaction.mayComeToRoom(ctx, failure) {
			transaction.pauseBroken(ctx)
			continue
		}
		if failure != nil {
			return transaction.overallFailure(failure)
		}
		last := transaction.attempt(ctx, reservation)
		if last.migrated {
			requirements.Exclude = reservation.candidate.Upstream
			continue
		}
		if last.failure == nil {
			return nil
		}
		if last.busy {
			if failure := transaction.dispatcher.refuseIfBusy(reservation.workload, &req); failure != nil {
				return transaction.overallFailure(failure)
			}
			requirements = suspectRequirements(requirements, &transaction.req)
			transaction.pause(ctx, reserveRetryDelay)
			continue
		}
		if !last.notRun {
			transaction.uncertainFailure = last.failure
		}
		if !transaction.allowRetry(ctx, &last) {
			return transaction.overallFailure(last.failure)
		}
		requirements = transaction.retryRequirements(requirements, reservation, last)
		if requirements.Suspect {
			transaction.pause(ctx, suspectPause)
		}
	}
}

// nextReservation reserves a slot for the next attempt.
func (transaction *transaction) nextReservation(ctx context.Context, req *request.Request, requirements route.Requirements) (*reservation, *outcome.Error) {
	if reserved := transaction.reserved; reserved != nil {
		transaction.reserved = nil
		return reserved, nil
	}
	if transaction.last > 0 {
		requirements = transaction.withOrigin(requirements)
		if failure := transaction.dispatcher.originFailure(req, requirements); failure != nil {
			return nil, failure
		}
	}
	return transaction.dispatcher.admit(ctx, req, requirements, transaction.attempts > 0 || requirements.Suspect)
}

// retryRequirements returns the routing requirements after a failed attempt. A stream that broke off is sent on to its
// upstream while that lives and does not leave, since it may be the only one that can go on with it.
func (transaction *transaction) retryRequirements(requirements route.Requirements, reservation *reservation, last result) route.Requirements {
	requirements.Exclude, requirements.Only = reservation.candidate.Upstream, ""
	if transaction.last > 0 && last.alive && !transaction.dispatcher.leaving(reservation) {
		requirements.Exclude, requirements.Only = "", reservation.candidate.Upstream
	}
	requirements.Affinity = transaction.req.Fingerprint
	requirements.Suspect = transaction.isSuspect() || (last.unreachable && !transaction.dispatcher.completed.Has(transaction.req.Fingerprint))
	return requirements
}

// overallFailure returns the failure, or that of an earlier attempt if the request may have run.
func (transaction *transaction) overallFailure(failure *outcome.Error) *outcome.Error {
	if transaction.mayHaveRun && failure.Kind.Entry().Execution == outcome.NotRun {
		return transaction.uncertainFailure.WithRetryAfter(max(failure.RetryAfter, transaction.uncertainFailure.RetryAfter))
	}
	return failure
}

// requirements returns the routing requirements of the request, or refuses a request that is quarantined.
func (transaction *transaction) requirements() (route.Requirements, *outcome.Error) {
	req := &transaction.req
	if failure := transaction.dispatcher.quarantineFailure(req.Fingerprint); failure != nil {
		return route.Requirements{}, failure
	}
	requirements := route.Requirements{Affinity: cmp.Or(req.Prefix, req.Fingerprint), Adapter: req.Target.Adapter}
	if !transaction.dispatcher.completed.Has(req.Fingerprint) {
		requirements.SecondaryAffinity = req.Fingerprint
	}
	if transaction.isSuspect() {
		requirements = suspectRequirements(requirements, req)
	}
	return requirements, nil
}

// quarantineFailure returns the refusal of a request that crashed too many upstreams, or nil.
func (dispatcher *Dispatcher) quarantineFailure(fingerprint uint64) *outcome.Error {
	now := dispatcher.clock.Now()
	crashes, until := dispatcher.registry.CrashCount(fingerprint, now)
	if !quarantine.Refused(crashes) {
		return nil
	}
	return outcome.New(outcome.Quarantined, "earlier sendings of the request crashed upstreams").WithRetryAfter(until.Sub(now))
}

// isSuspect reports whether the request was in flight on an upstream that crashed.
func (transaction *transaction) isSuspect() bool {
	crashes, _ := transaction.dispatcher.registry.CrashCount(transaction.req.Fingerprint, transaction.dispatcher.clock.Now())
	return crashes > 0
}

// suspectRequirements returns the routing requirements of a suspect. Equal suspects of all daemons prefer the same
// upstream.
func suspectRequirements(requirements route.Requirements, req *request.Request) route.Requirements {
	requirements.Suspect = true
	requirements.Affinity = req.Fingerprint
	return requirements
}

// withNextDeadline returns the request with the deadline of its next attempt. A stream that has begun uses
// resumeDeadline instead of the deadline of the request.
func (transaction *transaction) withNextDeadline() request.Request {
	req := transaction.req
	if !transaction.sink.Begun() {
		return req
	}
	if transaction.resumeDeadline.IsZero() {
		transaction.resumeDeadline = transaction.dispatcher.clock.Now().Add(resumeTimeout)
	}
	req.Deadline = transaction.resumeDeadline
	return req
}

// timeLeft returns the time until the deadline of the next attempt.
func (transaction *transaction) timeLeft() time.Duration {
	req := transaction.withNextDeadline()
	return req.Deadline.Sub(transaction.dispatcher.clock.Now())
}
