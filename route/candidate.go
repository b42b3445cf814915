package route

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// defaultSlots is used for a candidate that does not say how much it serves at once.
const defaultSlots = 16

// Candidate is one upstream that can serve a target.
type Candidate struct {
	// Upstream is the name of the VM.
	Upstream string
	// BootID is the boot of the engine that holds the replica, or empty if unknown.
	BootID string
	// Version is the version of the model that the replica holds.
	Version string
	// Fence is the highest fencing number that the engine said it saw.
	Fence uint64
	// Slots is the number of requests that the replica serves well at once; zero means 16.
	Slots int
	// Running and Waiting are the reported load from everybody together.
	Running, Waiting int
	// Reported is the time of the load report on the clock of this daemon; zero if there is none.
	Reported time.Time
	// Adapters names the adapters that the replica holds.
	Adapters []string
	// Role is the role of the engine; empty means Mixed.
	Role upstream.Role
	// Leaving states that the upstream takes no new work.
	Leaving bool
}

// Capacity returns Slots or its default.
func (candidate *Candidate) Capacity() int {
	if candidate.Slots > 0 {
		return candidate.Slots
	}
	return defaultSlots
}

// holds reports whether the replica holds the adapter; every replica holds the empty one.
func (candidate *Candidate) holds(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, held := range candidate.Adapters {
		if held == adapter {
			return true
		}
	}
	return false
}

// serves reports whether the candidate takes whole requests.
func (candidate *Candidate) serves() bool {
	if candidate.Leaving {
		return false
	}
	return candidate.Role == "" || candidate.Role == upstream.Mixed
}
