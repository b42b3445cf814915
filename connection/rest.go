package connection

import (
	"context"
	"time"
)

const (
	// cautiousTime is how long connections that rested are not used after one that did yielded nothing: something between the ends, or
	// an upstream, drops them without a notice.
	cautiousTime = 10 * time.Minute
	// restingPerUpstream is the number of connections of all clients together that may rest at one upstream, which accepts some hundreds.
	// Each client may have one, and at most maxResting.
	restingPerUpstream = 128
	maxResting         = 4
	// restedSilence is the time without a byte of a response after which an exchange that was given up counts as one that yielded nothing.
	restedSilence = time.Second
)

// SetClients sets the number of processes like this one, which share the connections that may rest at an upstream.
func (pool *Pool) SetClients(count int) {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.resting = min(max(restingPerUpstream/max(count, 1), 1), maxResting)
}

// observeRested records that an exchange on a connection which was unused for longer than the IdleTimeout had no response. A replica
// that stood still has the same effect, which is that connections are kept as short as without a rest.
func (pool *Pool) observeRested(ctx context.Context, c *conn, err error, begun time.Time) {
	if err == nil || c.unused <= pool.settings.IdleTimeout || c.limited.received {
		return
	}
	now := pool.clock.Now()
	if ctx.Err() != nil && now.Sub(begun) < restedSilence {
		return
	}
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	pool.cautiousUntil = now.Add(cautiousTime)
}
