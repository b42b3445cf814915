package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// View is the state of one engine as known to the decider.
type View struct {
	// State is the state that the engine reported.
	State upstream.State
	// AsOf is a time of the local clock that is not later than the creation of the state, such as the time
	// at which the request for it was sent. The time at which the response arrived would be too late.
	AsOf time.Time
	// ChecksFencing states that the engine rejects orders with a lower fencing number than it has seen.
	ChecksFencing bool
	// ChecksBoot states that the engine rejects orders for another boot.
	ChecksBoot bool
}

// FencesReliably reports whether the engine rejects orders with older fencing numbers even after a restart.
func (view View) FencesReliably() bool {
	return view.ChecksFencing && view.ChecksBoot
}

// rejectsFence reports whether the engine rejects orders with the fencing number, in its current boot and in later
// ones. Without a check of the boot, an old order could be accepted after a restart, since a restart resets the
// fencing number of the engine.
func (view View) rejectsFence(fence uint64) bool {
	return view.FencesReliably() && view.State.Fence > fence
}

// rejectsBoot reports whether the engine accepts no more orders for the boot.
func (view View) rejectsBoot(bootID string) bool {
	return view.ChecksBoot && view.State.BootID != bootID
}

// Replica returns the replica of the model and version, or false if there is none or its load failed.
func (view View) Replica(model, version string) (upstream.Replica, bool) {
	for _, replica := range view.State.Replicas {
		if replica.Model == model && replica.Version == version && replica.Phase != upstream.Failed {
			return replica, true
		}
	}
	return upstream.Replica{}, false
}
