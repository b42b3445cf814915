package dispatch

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/outcome"
)

// notSentFailure returns the failure of a request whose context ended before it was sent.
func notSentFailure(ctx context.Context) *outcome.Error {
	cause := context.Cause(ctx)
	if errors.Is(cause, errStopped) {
		return outcome.New(outcome.Stopping, "the daemon stops").WithRetryAfter(stoppingRetryAfter)
	}
	if errors.Is(cause, errBeginDeadline) || errors.Is(cause, context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the request was sent").WithRetryAfter(minRetryAfter)
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}

// cancelledFailure returns the failure of a request whose context ended while it ran.
func cancelledFailure(ctx context.Context) *outcome.Error {
	if errors.Is(context.Cause(ctx), errStopped) {
		return outcome.New(outcome.DeadlineRunning, "the daemon stopped while an upstream had the request").WithRetryAfter(stoppingRetryAfter)
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return outcome.New(outcome.DeadlineRunning, "the total time of the request is over")
	}
	return outcome.New(outcome.CallerGone, "the caller closed the connection")
}
