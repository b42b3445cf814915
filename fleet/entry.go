package fleet

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Entry is one upstream with its newest known state.
type Entry struct {
	// Member is the upstream.
	Member Member
	// State is the newest state, or the zero value if none was received.
	State upstream.State
	// AsOf is a time on this daemon's clock that is not later than the creation of the state.
	AsOf time.Time
	// Direct states that this daemon queried the engine itself.
	Direct bool
}

// Leaving reports whether the upstream accepts no new work, according to the platform or to the engine.
func (entry Entry) Leaving() bool {
	return entry.Member.Leaving || entry.State.Leaving
}
