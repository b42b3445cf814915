package relay

import (
	"context"
	"errors"
	"fmt"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/exchange"
)

// Ender tells who ended an attempt, for logs.
type Ender string

// The enders of attempts.
const (
	// EndedByReplica means that the replica did: it broke off, rejected the request, failed or sent what is no valid response.
	EndedByReplica Ender = "Replica"
	// EndedByClient means that the client closed the connection.
	EndedByClient Ender = "Client"
	// EndedByDeadline means that the deadline of the request passed.
	EndedByDeadline Ender = "Deadline"
	// EndedByStop means that this daemon stops.
	EndedByStop Ender = "Stop"
	// EndedBySuccessor means that this daemon ended a stalled attempt, since another replica has accepted the request or another
	// daemon is asked.
	EndedBySuccessor Ender = "Successor"
	// EndedByPredecessor means that this daemon ended an attempt that was to replace a stalled one, which went on.
	EndedByPredecessor Ender = "Predecessor"
	// EndedForRoom means that this daemon held too many bytes of responses, and most for this replica.
	EndedForRoom Ender = "Room"
)

// enderOf returns who ended the attempt with the context.
func enderOf(ctx context.Context) Ender {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return EndedByReplica
	case errors.Is(cause, errDeadline):
		return EndedByDeadline
	case errors.Is(cause, errStopped):
		return EndedByStop
	case errors.Is(cause, errStalled):
		return EndedBySuccessor
	case errors.Is(cause, errOvertaken):
		return EndedByPredecessor
	case errors.Is(cause, bytebudget.ErrShort):
		return EndedForRoom
	default:
		return EndedByClient
	}
}

// lostError returns the error of a response that broke off, or that was given up, for the reason; nil means none.
func lostError(reason error) error {
	if reason == nil {
		return exchange.ErrLost
	}
	return fmt.Errorf("%w: %w", exchange.ErrLost, reason)
}

// brokeOff reports whether the attempt that failed with the error lost its connection. A response that is over a limit or invalid
// came from a replica that lives.
func brokeOff(err error) bool {
	return !errors.Is(err, exchange.ErrInvalidResponse) && !errors.Is(err, errLongEvent) && !errors.Is(err, errLongResponse)
}
