package fleet

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Known is the newest state of one upstream.
type Entry struct {
	// Member is the upstream.
	Member Member
	// State is the newest state, or the zero value if none was heard.
	State upstream.State
	// AsOf is a time on this daemon's clock that is not later than the making of the state.
	AsOf time.Time
	// Direct states that this daemon asked the engine itself.
	Direct bool
}

// Leaving reports whether the upstream takes no new work, by any sign.
func (known Entry) Leaving() bool {
	return known.Member.Leaving || known.State.Leaving
}
