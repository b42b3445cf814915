package relay

import (
	"context"
	"time"
)

// StopAccepting ends the service for new requests.
func (relay *Relay) StopAccepting() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.stopping = true
}

// CancelRequests gives all requests that wait or run their final answer.
func (relay *Relay) CancelRequests() {
	relay.end()
}

func (relay *Relay) isStopping() bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.stopping
}

// untilEnd returns a context that ends with errStopped when End is called.
func (relay *Relay) untilEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	unwatch := context.AfterFunc(relay.ended, func() { cancel(errStopped) })
	return ctx, func() {
		unwatch()
		cancel(nil)
	}
}

// retryAfterStop is the advice to the client of a daemon that is shutting down; others serve.
const retryAfterStop = 50 * time.Millisecond
