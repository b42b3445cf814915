package dispatch

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
)

// ender tells who ended an attempt, for logs.
type ender string

// The enders of attempts that failed.
const (
	// endedByUpstream means that the upstream broke off, refused, failed or sent what is no valid response.
	endedByUpstream ender = "Replica"
	// endedByClient means that the caller closed the connection or does not take the response.
	endedByClient ender = "Client"
	// endedByDeadline means that the deadline or the total time of the request passed.
	endedByDeadline ender = "Deadline"
	// endedByStop means that this daemon stops.
	endedByStop ender = "Stop"
)

// enderOf returns who ended an attempt with the context and the failure.
func enderOf(ctx context.Context, failure *outcome.Error) ender {
	if errors.Is(context.Cause(ctx), errStopped) {
		return endedByStop
	}
	switch failure.Kind {
	case outcome.CallerGone:
		return endedByClient
	case outcome.DeadlineInQueue, outcome.DeadlineRunning:
		return endedByDeadline
	default:
		return endedByUpstream
	}
}

// logFailed logs that the attempt on the leg failed, and who ended it.
func (transaction *transaction) logFailed(ctx context.Context, leg *leg, failed result) {
	event.AttemptFailed.Log("Request", transaction.req.ID, "Fingerprint", transaction.req.Fingerprint, "Replica", leg.name(),
		"Boot", leg.reservation.candidate.BootID, "LastEvent", transaction.last, "Sends", transaction.attempts,
		"Runs", transaction.ran, "NotRun", failed.notRun, "EndedBy", enderOf(ctx, failed.failure), "Cause", failed.failure.Error())
}
