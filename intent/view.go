package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// View is the state of one engine as the decider knows it.
type View struct {
	// State is what the engine said.
	State upstream.State
	// AsOf is a time of the local clock at which the state was not yet made, such as the time
	// before it was asked for. The time at which the answer came would be too late.
	AsOf time.Time
	// ChecksFencing states that the engine refuses orders with an old fencing number.
	ChecksFencing bool
	// ChecksBoot states that the engine refuses orders for another boot.
	ChecksBoot bool
}

// Closes reports whether a higher fencing number closes older orders for good.
func (view View) FencesReliably() bool {
	return view.ChecksFencing && view.ChecksBoot
}

// fencesOff reports whether the engine takes no order with the fencing number in its present
// boot, nor in a later one. Without a check of the boot, an order could come back after a restart,
// in which engines forget the fencing number.
func (view View) fencesOff(fence uint64) bool {
	return view.FencesReliably() && view.State.Fence > fence
}

// endsBoot reports whether the engine takes no order for the boot any more.
func (view View) endsBoot(bootID string) bool {
	return view.ChecksBoot && view.State.BootID != bootID
}

// Replica returns the replica of the model and version, unless its load failed.
func (view View) Replica(model, version string) (upstream.Replica, bool) {
	for _, replica := range view.State.Replicas {
		if replica.Model == model && replica.Version == version && replica.Phase != upstream.Failed {
			return replica, true
		}
	}
	return upstream.Replica{}, false
}
