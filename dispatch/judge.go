package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// judge turns the error of an attempt into its result and notes what it says of the upstream.
func (journey *journey) judge(ctx context.Context, place *place, err error) result {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		journey.mayHaveRun = true
		return result{failure: failure, final: true}
	}
	if ending, proved := journey.unsent(ctx, place, err); proved {
		return ending
	}
	journey.mayHaveRun = true
	journey.ran++
	if ending, ended := journey.stopped(ctx, err); ended {
		journey.watch(place)
		return ending
	}
	return journey.lost(ctx, place, err)
}

// unsent judges errors that prove that the upstream did not run the request.
func (journey *journey) unsent(ctx context.Context, place *place, err error) (result, bool) {
	var refusal *upstream.RefusedError
	if errors.As(err, &refusal) {
		if journey.req.Target.Adapter != "" {
			journey.dispatcher.adapters.refused(journey.slotOf(place), journey.dispatcher.clock.Now())
		}
		failure := outcome.New(outcome.UpstreamRefused, "the upstream refused the request").WithCause(err).WithRetryAfter(minRetry)
		return result{failure: failure, notRun: true}, true
	}
	if errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil {
		return result{failure: endedBefore(ctx), notRun: true, final: true}, true
	}
	if errors.Is(err, upstream.ErrNotSent) {
		journey.unreached(place)
		failure := outcome.New(outcome.UpstreamRefused, "the upstream cannot be reached").WithCause(err).WithRetryAfter(minRetry)
		return result{failure: failure, notRun: true, unreachable: true}, true
	}
	return result{}, false
}

// stopped judges attempts that this side ended.
func (journey *journey) stopped(ctx context.Context, err error) (result, bool) {
	if errors.Is(err, errSink) {
		return result{failure: outcome.New(outcome.CallerGone, "the caller does not take the answer"), final: true}, true
	}
	if ctx.Err() == nil {
		return result{}, false
	}
	if errors.Is(context.Cause(ctx), errBeginDeadline) {
		failure := outcome.New(outcome.DeadlineRunning, "the answer did not begin before the deadline").WithRetryAfter(minRetry)
		return result{failure: failure, final: true}, true
	}
	return result{failure: callerGone(ctx), final: true}, true
}

// lost judges attempts that may have run and did not end well.
func (journey *journey) lost(ctx context.Context, place *place, err error) result {
	name := place.candidate.Upstream
	if errors.Is(err, upstream.ErrMismatched) {
		journey.failed(place)
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer belongs to another request").WithCause(err)}
	}
	boot := journey.dispatcher.probe(context.WithoutCancel(ctx), name)
	if hasCrashed(place, boot) {
		journey.crashed(ctx, place)
		return result{failure: outcome.New(outcome.UpstreamLost, "the upstream failed while the request ran").WithCause(err), crashed: true}
	}
	journey.failed(place)
	if errors.Is(err, upstream.ErrTruncated) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer was not complete").WithCause(err)}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "the connection to the upstream failed while the request ran").WithCause(err)}
}

// watchAfter are the pauses after which the upstream of a request that was given up is asked for its boot.
var watchAfter = [...]time.Duration{100 * time.Millisecond, 900 * time.Millisecond}

// watch looks for a crash after this side ended a request that was never answered in full, since its
// caller may send it again.
func (journey *journey) watch(place *place) {
	dispatcher := journey.dispatcher
	if place.candidate.BootID == "" || dispatcher.proven.Has(journey.req.Fingerprint) {
		return
	}
	dispatcher.behind(func() {
		ctx := context.Background()
		for _, pause := range watchAfter {
			<-dispatcher.clock.After(pause)
			boot := dispatcher.probe(ctx, place.candidate.Upstream)
			if hasCrashed(place, boot) {
				journey.crashed(ctx, place)
				return
			}
		}
	})
}

// hasCrashed reports whether the boot of the place is over or may be, by the boot that a probe found, or
// none. A boot that was only cut off or paused is absolved when it answers again.
func hasCrashed(place *place, boot string) bool {
	return boot == "" || (place.candidate.BootID != "" && boot != place.candidate.BootID)
}

// failed counts a failure of the upstream.
func (journey *journey) failed(place *place) {
	if journey.dispatcher.router.FailedBy(place.candidate.Upstream, journey.req.Fingerprint) {
		event.UpstreamEjected.Log("Upstream", place.candidate.Upstream)
	}
}

// unreached counts a refused connection, which is no request's fault.
func (journey *journey) unreached(place *place) {
	if journey.dispatcher.router.Failed(place.candidate.Upstream) {
		event.UpstreamEjected.Log("Upstream", place.candidate.Upstream)
	}
}

// crashed ejects the upstream and makes the request a suspect, here and at the other daemons.
func (journey *journey) crashed(ctx context.Context, place *place) {
	dispatcher := journey.dispatcher
	// The mark comes first, so that an equal request that waits is not granted the next upstream between.
	suspect := dispatcher.suspect(journey.req.Fingerprint, place)
	dispatcher.router.Eject(place.candidate.Upstream)
	event.UpstreamCrashed.Log("Upstream", place.candidate.Upstream, "Boot", place.candidate.BootID,
		"Request", journey.req.ID, "Fingerprint", journey.req.Fingerprint, "Crashes", len(suspect[0].Crashes))
	if dispatcher.deps.Suspects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.settings.PublishTimeout)
	defer cancel()
	dispatcher.deps.Suspects.Publish(ctx, suspect)
}
