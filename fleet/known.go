package fleet

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Known is the newest state of one upstream.
type Known struct {
	// Member is the upstream.
	Member Member
	// State is the newest state, or the zero value if none was heard.
	State upstream.State
	// Heard is the time at which the state was taken or heard, on this daemon's clock.
	Heard time.Time
	// Direct states that this daemon asked the engine itself.
	Direct bool
}

// Leaving reports whether the upstream takes no new work, by any sign.
func (known Known) Leaving() bool {
	return known.Member.Leaving || known.State.Leaving
}
