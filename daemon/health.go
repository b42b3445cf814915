package daemon

import "sync/atomic"

// health is the health check for the load balancer. A daemon is ready once it knows the catalogue in force,
// and until it begins to shut down.
type health struct {
	stopping atomic.Bool
	// catalogueKnown reports whether the catalogue in force is known.
	catalogueKnown func() bool
}

// Ready reports whether the load balancer may send requests, and the reason if not.
func (health *health) Ready() (bool, string) {
	if health.stopping.Load() {
		return false, "the daemon is shutting down"
	}
	if !health.catalogueKnown() {
		return false, "the state in force is not known yet"
	}
	return true, ""
}
