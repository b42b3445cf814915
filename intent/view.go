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
	// before it was asked for.
	AsOf time.Time
	// ChecksFencing states that the engine refuses orders with an old fencing number.
	ChecksFencing bool
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
