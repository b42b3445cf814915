package daemon

import "sync/atomic"

// health answers the balancer: a daemon is ready once it knows the state in force and until it stops.
type health struct {
	stopping atomic.Bool
	// known reports whether the state in force is known.
	known func() bool
}

// Ready returns whether the balancer may send requests, and the reason if not.
func (health *health) Ready() (bool, string) {
	if health.stopping.Load() {
		return false, "the daemon is shutting down"
	}
	if !health.known() {
		return false, "the state in force is not known yet"
	}
	return true, ""
}
