package relay

import (
	"context"
	"time"
)

// StopAccepting makes Serve refuse new requests.
func (relay *Relay) StopAccepting() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.stopping = true
}

// CancelRequests ends all waiting and running requests with their final response.
func (relay *Relay) CancelRequests() {
	relay.cancel()
}

func (relay *Relay) isStopping() bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.stopping
}

// withShutdown returns a context that is cancelled with errStopped by CancelRequests, and a function that releases
// it.
func (relay *Relay) withShutdown(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	stopCallback := context.AfterFunc(relay.lifetime, func() { cancel(errStopped) })
	return ctx, func() {
		stopCallback()
		cancel(nil)
	}
}

// retryAfterStop is the Retry-After value of a daemon that shuts down. It is short, since other daemons can serve the
// request.
const retryAfterStop = 50 * time.Millisecond
