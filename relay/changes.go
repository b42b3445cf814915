package relay

import (
	"context"
	"time"
)

// changes holds what ends a wait before its timeout. Nil channels are ignored.
type changes struct {
	// directory is closed when the directory changes, and refusals when the set of refused requests does.
	directory, refusals <-chan struct{}
	// token is closed when there is a token for the request.
	token <-chan struct{}
	// turn yields a value when the request may try to find a replica with capacity.
	turn <-chan struct{}
}

// changes returns the channels of the next changes of the directory and of the refused requests.
func (transaction *transaction) changes() changes {
	return changes{directory: transaction.relay.deps.Directory.Changed(), refusals: transaction.relay.deps.Suspects.Refusals()}
}

// waitForChange waits until one of the changes, the timeout or the end of the context.
func (transaction *transaction) waitForChange(ctx context.Context, timeout time.Duration, changes changes) {
	timer := transaction.relay.deps.Clock.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-changes.directory:
	case <-changes.refusals:
	case <-changes.token:
	case <-changes.turn:
	case <-timer.C():
	case <-ctx.Done():
	}
}
