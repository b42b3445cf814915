package dispatch

import (
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
	// attempts is the number of upstreams that the request was given to.
	attempts int
	// mayHaveRun states that an upstream may have run a part of the request.
	mayHaveRun bool
	// last is the index of the last piece that the caller got.
	last int
	// ticket is the claim that the request holds, or nil.
	ticket *claim.Ticket
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
	return failure
}

// try runs attempts until one succeeds or none may follow.
func (journey *journey) try(ctx context.Context, ask route.Ask) *outcome.Error {
	var last result
	for {
		place, failure := journey.dispatcher.admit(ctx, &journey.req, ask, journey.attempts > 0 || ask.Suspect)
		if failure != nil {
			return journey.refused(failure, last)
		}
		last = journey.attempt(ctx, place)
		if last.failure == nil || !journey.again(ctx, &last) {
			return last.failure
		}
		ask.Exclude = place.candidate.Upstream
		if last.crashed {
			ask = suspected(ask, &journey.req)
		}
	}
}

// refused returns the failure of an admission, or that of the attempt before if it may have run.
func (journey *journey) refused(failure *outcome.Error, last result) *outcome.Error {
	if journey.mayHaveRun && failure.Kind.Entry().Word == outcome.NotRun {
		return last.failure
	}
	return failure
}

// ask returns what the request needs, or refuses a request that is quarantined.
func (journey *journey) ask() (route.Ask, *outcome.Error) {
	req := &journey.req
	now := journey.dispatcher.clock.Now()
	crashes, until := journey.dispatcher.book.Crashes(req.Fingerprint, now)
	if quarantine.Refused(crashes) {
		return route.Ask{}, outcome.New(outcome.Quarantined, "earlier sendings of the request crashed upstreams").WithRetryAfter(until.Sub(now))
	}
	ask := route.Ask{Affinity: req.Prefix, Adapter: req.Target.Adapter}
	if crashes > 0 {
		ask = suspected(ask, req)
	}
	return ask, nil
}

// suspected returns the ask of a suspect. Equal suspects of all daemons prefer the same upstream.
func suspected(ask route.Ask, req *request.Request) route.Ask {
	ask.Suspect = true
	ask.Affinity = req.Fingerprint
	return ask
}

// callerGone returns the failure of a request whose context ended.
func callerGone(ctx context.Context) *outcome.Error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineRunning, "the total time of the request is over")
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}

// left returns the time until the answer must have begun.
func (journey *journey) left() time.Duration {
	return journey.req.Deadline.Sub(journey.dispatcher.clock.Now())
}
