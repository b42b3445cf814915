package route

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// defaultSlots is the number of slots of a candidate that does not report one.
const defaultSlots = 16

// Candidate is one upstream with a replica that can serve the request.
type Candidate struct {
	// Upstream is the name of the VM.
	Upstream string
	// BootID is the boot of the engine that holds the replica, or empty if unknown.
	BootID string
	// Version is the version of the model that the replica holds.
	Version string
	// Release is the release of the engine's software. It equals that of another candidate only if both engines name it.
	Release string
	// Fence is the highest fencing number that the engine reported.
	Fence uint64
	// Slots is the number of requests that the replica serves well concurrently; zero means 16.
	Slots int
	// Running and Waiting are the reported load: the requests of all daemons that run and wait there.
	Running, Waiting int
	// Reported is the time of the load report on the clock of this daemon; zero if there is none.
	Reported time.Time
	// Adapters are the names of the adapters that the replica has loaded.
	Adapters []string
	// Role is the role of the engine; empty means Mixed.
	Role upstream.Role
	// Leaving states that the upstream accepts no new requests.
	Leaving bool
}

// Capacity returns Slots or its default.
func (candidate *Candidate) Capacity() int {
	if candidate.Slots > 0 {
		return candidate.Slots
	}
	return defaultSlots
}

// hasAdapter reports whether the replica has the adapter loaded. It is true for the empty name.
func (candidate *Candidate) hasAdapter(adapter string) bool {
	if adapter == "" {
		return true
	}
	for _, loaded := range candidate.Adapters {
		if loaded == adapter {
			return true
		}
	}
	return false
}

// acceptsRequests reports whether the candidate accepts complete requests, that is prefill and decode.
func (candidate *Candidate) acceptsRequests() bool {
	if candidate.Leaving {
		return false
	}
	return candidate.Role == "" || candidate.Role == upstream.Mixed
}
