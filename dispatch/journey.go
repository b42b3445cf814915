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

// journey is one request on its way through a dispatcher.
type journey struct {
	dispatcher *Dispatcher
	req        request.Request
	sink       request.Sink
	// attempts is the number of attempts, and ran the number of those that may have run.
	attempts, ran int
	// mayHaveRun states that an upstream may have run a part of the request.
	mayHaveRun bool
	// doubt is the failure of the latest attempt that may have run, or nil.
	doubt *outcome.Error
	// last is the index of the last piece that the caller got.
	last int
	// ticket is the claim that the request holds, or nil.
	ticket *claim.Ticket
	// resumeBy is when a stream that began must have found its next upstream, or zero while it has one.
	resumeBy time.Time
	// departure watches whether the upstream leaves, and moving is the generation on its way to another.
	departure departure
	moving    []byte
	// recorder keeps the answer of a claimed request, or is nil.
	recorder *recorder
	// ended states that the request got its end.
	ended bool
}

// walk takes the request through queue and upstreams until it ends.
func (journey *journey) walk(ctx context.Context) *outcome.Error {
	ask, failure := journey.ask()
	if failure != nil {
		return failure
	}
	failure = journey.try(ctx, ask)
	journey.settle(ctx, failure)
	if failure == nil && journey.recorder != nil && journey.recorder.gone {
		return outcome.New(outcome.CallerGone, "the caller did not take the answer, which is kept for a resend")
	}
	return failure
}

// try runs attempts until one succeeds or none may follow.
func (journey *journey) try(ctx context.Context, ask route.Requirements) *outcome.Error {
	for {
		req := journey.due()
		place, failure := journey.dispatcher.admit(ctx, &req, ask, journey.attempts > 0 || ask.Suspect)
		if failure != nil {
			return journey.truthful(failure)
		}
		last := journey.attempt(ctx, place)
		if last.moved {
			ask.Exclude = place.candidate.Upstream
			continue
		}
		if last.failure == nil {
			return nil
		}
		if last.busy {
			if failure := journey.dispatcher.crowded(place.lane, &req); failure != nil {
				return journey.truthful(failure)
			}
			ask = suspected(ask, &journey.req)
			journey.pause(ctx, reserveAgain)
			continue
		}
		if !last.notRun {
			journey.doubt = last.failure
		}
		if !journey.again(ctx, &last) {
			return journey.truthful(last.failure)
		}
		ask.Exclude = place.candidate.Upstream
		ask.Affinity = journey.req.Fingerprint
		ask.Suspect = journey.suspect() || (last.unreachable && !journey.dispatcher.proven.Has(journey.req.Fingerprint))
		if ask.Suspect {
			journey.pause(ctx, suspectPause)
		}
	}
}

// truthful returns the failure, or that of an attempt before which may have run.
func (journey *journey) truthful(failure *outcome.Error) *outcome.Error {
	if journey.mayHaveRun && failure.Kind.Entry().Word == outcome.NotRun {
		return journey.doubt.WithRetryAfter(max(failure.RetryAfter, journey.doubt.RetryAfter))
	}
	return failure
}

// suspectPause is the time in which the other daemons tell of their crashes.
const suspectPause = 500 * time.Millisecond

// pause lets a suspect wait for what other daemons know of equal requests before it runs again.
func (journey *journey) pause(ctx context.Context, pause time.Duration) {
	timer := journey.dispatcher.clock.NewTimer(min(pause, max(journey.left(), 0)))
	defer timer.Stop()
	select {
	case <-timer.C():
	case <-ctx.Done():
	}
}

// ask returns what the request needs, or refuses a request that is quarantined.
func (journey *journey) ask() (route.Requirements, *outcome.Error) {
	req := &journey.req
	if failure := journey.dispatcher.quarantined(req.Fingerprint); failure != nil {
		return route.Requirements{}, failure
	}
	ask := route.Requirements{Affinity: cmp.Or(req.Prefix, req.Fingerprint), Adapter: req.Target.Adapter}
	if !journey.dispatcher.proven.Has(req.Fingerprint) {
		ask.SecondaryAffinity = req.Fingerprint
	}
	if journey.suspect() {
		ask = suspected(ask, req)
	}
	return ask, nil
}

// quarantined returns the refusal of a request that crashed too many upstreams, or nil.
func (dispatcher *Dispatcher) quarantined(fingerprint uint64) *outcome.Error {
	now := dispatcher.clock.Now()
	crashes, until := dispatcher.book.Crashes(fingerprint, now)
	if !quarantine.Refused(crashes) {
		return nil
	}
	return outcome.New(outcome.Quarantined, "earlier sendings of the request crashed upstreams").WithRetryAfter(until.Sub(now))
}

// suspect reports whether the request was in flight on an upstream that crashed.
func (journey *journey) suspect() bool {
	crashes, _ := journey.dispatcher.book.Crashes(journey.req.Fingerprint, journey.dispatcher.clock.Now())
	return crashes > 0
}

// suspected returns the ask of a suspect. Equal suspects of all daemons prefer the same upstream.
func suspected(ask route.Requirements, req *request.Request) route.Requirements {
	ask.Suspect = true
	ask.Affinity = req.Fingerprint
	return ask
}

// endedBefore returns the failure of a request whose context ended before it was sent.
func endedBefore(ctx context.Context) *outcome.Error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errBeginDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the request was sent").WithRetryAfter(minRetry)
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}

// callerGone returns the failure of a request whose context ended while it ran.
func callerGone(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineRunning, "the total time of the request is over")
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}

// resumeWithin is the time within which a stream that began must find its next upstream.
const resumeWithin = 10 * time.Second

// due returns the request with the deadline of its next attempt: a stream that began has its own.
func (journey *journey) due() request.Request {
	req := journey.req
	if !journey.sink.Begun() {
		return req
	}
	if journey.resumeBy.IsZero() {
		journey.resumeBy = journey.dispatcher.clock.Now().Add(resumeWithin)
	}
	req.Deadline = journey.resumeBy
	return req
}

// left returns the time until the next attempt must have begun.
func (journey *journey) left() time.Duration {
	req := journey.due()
	return req.Deadline.Sub(journey.dispatcher.clock.Now())
}
