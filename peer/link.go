package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// maxBackoffIntervals is the largest number of intervals between two calls to a peer whose calls fail.
const maxBackoffIntervals = 8

// link holds the state of the exchanges with one other daemon. It is guarded by the mutex of the Node.
type link struct {
	// ackedVersion is the version of this daemon's record that the peer has reported to have, or zero if unknown.
	ackedVersion uint64
	// inFlight states that an exchange with the peer is queued or in flight.
	inFlight bool
	// lastExchange is when records were last exchanged in both directions.
	lastExchange time.Time
	// newestMark is the newest mark received from the peer.
	newestMark receivedMark
	// failures counts the consecutive failed calls.
	failures int
	// backoffUntil is the time before which the peer is not called.
	backoffUntil time.Time
}

// updateAcked sets ackedVersion from a digest of this daemon's record that the peer sent. It reports whether the
// peer has a later version than before, or the newest.
func (link *link) updateAcked(digest *peerpb.Digest, self Record) bool {
	last := link.ackedVersion
	link.ackedVersion = 0
	if digest.GetIncarnation() == self.Incarnation {
		link.ackedVersion = min(digest.GetVersion(), self.Version)
	}
	return link.ackedVersion > last || link.ackedVersion == self.Version
}

// recordSuccess records a completed exchange.
func (link *link) recordSuccess(now time.Time) {
	link.lastExchange = now
	link.failures = 0
	link.backoffUntil = time.Time{}
}

// recordFailure records a failed call and sets the backoff.
func (link *link) recordFailure(now time.Time, interval time.Duration) {
	link.failures++
	intervals := time.Duration(min(1<<min(link.failures, 8), maxBackoffIntervals))
	link.backoffUntil = now.Add((intervals - 1) * interval)
}
