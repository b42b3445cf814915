package connection

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/bronzestall/bronzestall/reach"
)

// lateness is the time after a timeout from which on this process may have stood still while a connection was opened.
const lateness = 100 * time.Millisecond

// dialFailure returns the kind of a failure to open a connection, which was noticed the given time after its timeout, or before it if the
// time is negative.
func dialFailure(err error, late time.Duration) reach.Failure {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return reach.Refused
	case errors.Is(err, syscall.ECONNRESET):
		return reach.Reset
	case late >= lateness:
		return reach.LateTimeout
	}
	return reach.NotOpened
}

// reportBytes tells the observer that bytes of a response came on the connection.
func (pool *Pool) reportBytes(c *conn) {
	c.reported = pool.clock.Now()
	pool.settings.Observer.Reached(c.key)
}

// reportBody tells the observer that bytes of a body came, unless it was told lately.
func (pool *Pool) reportBody(c *conn) {
	if pool.clock.Since(c.reported) >= proofInterval {
		pool.reportBytes(c)
	}
}

// reportFailure tells the observer how a call failed that began at the time and was not cancelled. On a connection that was used
// before, a reset says nothing: the upstream may close it while it is unused. It returns whether a new connection ended before any byte.
func (pool *Pool) reportFailure(ctx context.Context, c *conn, err error, begun time.Time) bool {
	switch {
	case c.limited.received:
		pool.reportBytes(c)
	case ctx.Err() != nil:
	case errors.Is(err, syscall.ETIMEDOUT):
		pool.settings.Observer.Failed(c.key, reach.Silent, begun)
	case !c.reused:
		pool.settings.Observer.Failed(c.key, reach.Reset, begun)
		return true
	}
	return false
}
