package relay

import "time"

// StopAccepting makes Serve refuse new requests.
func (relay *Relay) StopAccepting() {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	relay.stopping = true
}

// CancelRequests ends all waiting and running requests with their final response.
func (relay *Relay) CancelRequests() {
	relay.cancel(errStopped)
}

func (relay *Relay) isStopping() bool {
	relay.mutex.Lock()
	defer relay.mutex.Unlock()
	return relay.stopping
}

// retryAfterStop is the Retry-After value of a daemon that shuts down. It is short, since other daemons can serve the
// request.
const retryAfterStop = 50 * time.Millisecond
