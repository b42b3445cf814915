package peer

import (
	"time"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// longestBackoff is the largest number of intervals between two calls to a peer that fails.
const longestBackoff = 8

// link is what a daemon knows of its calls to and from one other daemon. It is guarded by the Node.
type link struct {
	// told is the version of the own record that the peer has; zero if unknown.
	told uint64
	// busy states that a call to the peer is under way.
	busy bool
	// exchanged is when records last went both ways.
	exchanged time.Time
	// newest is the peer's newest mark.
	newest ticket
	// failures counts the calls in a row that failed.
	failures int
	// resting is the time before which the peer is not called.
	resting time.Time
}

// learn takes from a digest of the own record what the peer has, and reports whether it has more than before.
func (link *link) learn(digest *peerpb.Digest, self Record) bool {
	last := link.told
	link.told = 0
	if digest.GetIncarnation() == self.Incarnation {
		link.told = min(digest.GetVersion(), self.Version)
	}
	return link.told > last || link.told == self.Version
}

// succeed records an exchange.
func (link *link) succeed(now time.Time) {
	link.exchanged = now
	link.failures = 0
	link.resting = time.Time{}
}

// fail records a call that failed and sets the time of rest.
func (link *link) fail(now time.Time, every time.Duration) {
	link.failures++
	rest := time.Duration(min(1<<min(link.failures, 8), longestBackoff))
	link.resting = now.Add((rest - 1) * every)
}
