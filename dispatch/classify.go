package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// classify turns the error of an attempt into a result and records what it implies about the upstream.
func (transaction *transaction) classify(ctx context.Context, reservation *reservation, err error) result {
	var failure *outcome.Error
	if errors.As(err, &failure) {
		transaction.mayHaveRun = true
		return result{failure: failure, final: true}
	}
	if attemptResult, proved := transaction.classifyUnsent(ctx, reservation, err); proved {
		return attemptResult
	}
	transaction.mayHaveRun = true
	transaction.ran++
	if attemptResult, ended := transaction.classifyCancelled(ctx, err); ended {
		transaction.watchForCrash(reservation)
		return attemptResult
	}
	return transaction.classifyLost(ctx, reservation, err)
}

// classifyUnsent handles errors that prove that the upstream did not run the request. It reports false for
// others.
func (transaction *transaction) classifyUnsent(ctx context.Context, reservation *reservation, err error) (result, bool) {
	var refusal *upstream.RefusedError
	if errors.As(err, &refusal) {
		if transaction.req.Target.Adapter != "" {
			transaction.dispatcher.adapters.markRefused(transaction.adapterKeyOf(reservation), transaction.dispatcher.clock.Now())
		}
		failure := outcome.New(outcome.UpstreamRefused, "the upstream refused the request").WithCause(err).WithRetryAfter(minRetryAfter)
		return result{failure: failure, notRun: true, cannotResume: refusal.CannotResume()}, true
	}
	if errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil {
		return result{failure: notSentFailure(ctx), notRun: true, final: true}, true
	}
	if errors.Is(err, upstream.ErrNotSent) {
		transaction.recordUnreachable(reservation)
		failure := outcome.New(outcome.UpstreamRefused, "the upstream cannot be reached").WithCause(err).WithRetryAfter(minRetryAfter)
		return result{failure: failure, notRun: true, unreachable: true}, true
	}
	return result{}, false
}

// classifyCancelled handles attempts that ended because of the caller or a deadline. It reports false for
// others.
func (transaction *transaction) classifyCancelled(ctx context.Context, err error) (result, bool) {
	if errors.Is(err, errSink) {
		return result{failure: outcome.New(outcome.CallerGone, "the caller does not take the answer"), final: true}, true
	}
	if ctx.Err() == nil {
		return result{}, false
	}
	if errors.Is(context.Cause(ctx), errBeginDeadline) {
		failure := outcome.New(outcome.DeadlineRunning, "the answer did not begin before the deadline").WithRetryAfter(minRetryAfter)
		return result{failure: failure, final: true}, true
	}
	return result{failure: cancelledFailure(ctx), final: true}, true
}

// classifyLost handles attempts that may have run and failed at the upstream.
func (transaction *transaction) classifyLost(ctx context.Context, reservation *reservation, err error) result {
	name := reservation.candidate.Upstream
	if errors.Is(err, upstream.ErrMismatched) {
		transaction.recordFailure(reservation)
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer belongs to another request").WithCause(err)}
	}
	boot := transaction.dispatcher.probe(context.WithoutCancel(ctx), name)
	if mayHaveCrashed(reservation, boot) {
		transaction.recordCrash(ctx, reservation)
		return result{failure: outcome.New(outcome.UpstreamLost, "the upstream failed while the request ran").WithCause(err)}
	}
	transaction.recordFailure(reservation)
	if errors.Is(err, upstream.ErrTruncated) {
		return result{failure: outcome.New(outcome.AnswerInvalid, "the answer was not complete").WithCause(err), alive: true}
	}
	return result{failure: outcome.New(outcome.UpstreamLost, "the connection to the upstream failed while the request ran").WithCause(err), alive: true}
}

// crashCheckDelays are the delays before each probe of the upstream of a cancelled request.
var crashCheckDelays = [...]time.Duration{100 * time.Millisecond, 900 * time.Millisecond}

// watchForCrash probes the upstream after a request was cancelled that never completed before, since the
// caller may send it again.
func (transaction *transaction) watchForCrash(reservation *reservation) {
	dispatcher := transaction.dispatcher
	if reservation.candidate.BootID == "" || dispatcher.completed.Has(transaction.req.Fingerprint) {
		return
	}
	dispatcher.runInBackground(func() {
		ctx := context.Background()
		for _, pause := range crashCheckDelays {
			<-dispatcher.clock.After(pause)
			boot := dispatcher.probe(ctx, reservation.candidate.Upstream)
			if mayHaveCrashed(reservation, boot) {
				transaction.recordCrash(ctx, reservation)
				return
			}
		}
	})
}

// mayHaveCrashed reports whether the reserved boot has ended or may have ended. boot is what a probe returned,
// or empty without a response. The suspects of an upstream that was only disconnected or paused are cleared
// when the same boot responds again.
func mayHaveCrashed(reservation *reservation, boot string) bool {
	return boot == "" || (reservation.candidate.BootID != "" && boot != reservation.candidate.BootID)
}

// recordFailure counts a failure of the upstream caused by this request.
func (transaction *transaction) recordFailure(reservation *reservation) {
	if transaction.dispatcher.router.RecordRequestFailure(reservation.candidate.Upstream, transaction.req.Fingerprint) {
		event.UpstreamEjected.Log("Upstream", reservation.candidate.Upstream)
	}
}

// recordUnreachable counts a failed connection, which is not attributed to any request.
func (transaction *transaction) recordUnreachable(reservation *reservation) {
	if transaction.dispatcher.router.RecordFailure(reservation.candidate.Upstream) {
		event.UpstreamEjected.Log("Upstream", reservation.candidate.Upstream)
	}
}

// recordCrash ejects the upstream, marks the request as a suspect and publishes it to the other daemons.
func (transaction *transaction) recordCrash(ctx context.Context, reservation *reservation) {
	dispatcher := transaction.dispatcher
	// Mark first: otherwise a waiting equal request could be granted the next upstream in between.
	suspect := dispatcher.markSuspect(transaction.req.Fingerprint, reservation)
	dispatcher.router.Eject(reservation.candidate.Upstream)
	event.UpstreamCrashed.Log("Upstream", reservation.candidate.Upstream, "Boot", reservation.candidate.BootID,
		"Request", transaction.req.ID, "Fingerprint", transaction.req.Fingerprint, "Crashes", len(suspect[0].Crashes))
	if dispatcher.deps.Suspects == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dispatcher.settings.PublishTimeout)
	defer cancel()
	dispatcher.deps.Suspects.Publish(ctx, suspect)
}
