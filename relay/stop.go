package relay

import (
	"context"
	"time"
)

// Refuse ends the service for new requests.
func (relay *Relay) Refuse() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.stopping = true
}

// End gives all requests that wait or run their final answer. It must be called once.
func (relay *Relay) End() {
	close(relay.stopped)
}

func (relay *Relay) isStopping() bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.stopping
}

// untilEnd returns a context that ends with errStopped when End is called.
func (relay *Relay) untilEnd(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	done := make(chan struct{})
	go func() {
		select {
		case <-relay.stopped:
			cancel(errStopped)
		case <-done:
		}
	}()
	return ctx, func() {
		close(done)
		cancel(nil)
	}
}

// retryAfterStop is the advice to the client of a daemon that is shutting down; others serve.
const retryAfterStop = 50 * time.Millisecond
