package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
)

// The waits of a stream that broke off, until another upstream takes it.
const (
	// resumeTimeout is the time within which a stream that has begun must find its next upstream.
	resumeTimeout = 10 * time.Second
	// brokenDelay is the delay before the second try to find one. It doubles each time, up to longestBrokenDelay.
	brokenDelay        = 50 * time.Millisecond
	longestBrokenDelay = 800 * time.Millisecond
	// budgetPollInterval is the interval at which a stream asks for a retry while the budget is empty.
	budgetPollInterval = 50 * time.Millisecond
)

// goesOn reports whether the caller has a part of a stream that an upstream may still go on with. Such a stream is
// not given up for want of an upstream that takes it now.
func (transaction *transaction) goesOn(ctx context.Context) bool {
	return transaction.last > 0 && ctx.Err() == nil && transaction.timeLeft() > 0
}

// mayComeToRoom reports whether a stream that has begun and found no upstream for the reason may find one later.
func (transaction *transaction) mayComeToRoom(ctx context.Context, failure *outcome.Error) bool {
	if !transaction.goesOn(ctx) {
		return false
	}
	switch failure.Kind {
	case outcome.QueueFull, outcome.TenantLimit, outcome.NoDecider:
		return true
	case outcome.NoReplica:
		return failure.RetryAfter < transaction.timeLeft()
	default:
		return false
	}
}

// pauseBroken delays the next try of a stream that has begun, the longer the more there were.
func (transaction *transaction) pauseBroken(ctx context.Context) {
	transaction.pause(ctx, transaction.nextDelay)
	transaction.nextDelay = min(2*max(transaction.nextDelay, brokenDelay), longestBrokenDelay)
}

// withOrigin returns the requirements with the origin of a stream that has begun: the version of its model and the
// release of the engine. Its own upstream, which has the stream, needs no release.
func (transaction *transaction) withOrigin(requirements route.Requirements) route.Requirements {
	if transaction.last == 0 {
		return requirements
	}
	requirements.Version = transaction.version
	if requirements.Only == "" {
		requirements.Release = transaction.release
	}
	return requirements
}

// originFailure returns the failure of a stream whose origin no candidate has any more, or nil. Others cannot go on
// with it.
func (dispatcher *Dispatcher) originFailure(req *request.Request, requirements route.Requirements) *outcome.Error {
	snapshot, err := dispatcher.snapshot(req)
	if err != nil {
		return outcome.From(err)
	}
	if len(snapshot.Local)+len(snapshot.Remote) == 0 || snapshot.hasOrigin(requirements) {
		return nil
	}
	return outcome.New(outcome.UpstreamLost, "no upstream has the version and release that began the stream")
}
