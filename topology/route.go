package topology

import "time"

// Route defines where requests for one host and path prefix are sent and how they are handled.
type Route struct {
	// Name is unique in a configuration.
	Name string
	// Host is the host that requests must name.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind states how often a request may be executed.
	Kind Kind
	// Timeout is the maximum time that a client is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the target time to the response, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the target for the longest pause between two events of a stream.
	GapTarget time.Duration
	// Priority is the priority of the requests; zero is the highest.
	Priority int
	// Targets lists the services that share the requests by weight; there is at least one.
	Targets []Target
	// MaxAttempts is the maximum number of replicas that may execute one request; at least one.
	MaxAttempts int
	// Sticky is set if requests name the shared prefixes of their prompts.
	Sticky bool
	// Public is set if requests need no key.
	Public bool
	// Resumable is set if a stream may continue on another replica after the last event received.
	Resumable bool
}

// Repeatable reports whether a request of the route may be executed more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || (route.Kind == Streaming && route.Resumable)
}

// Target is one service of a route.
type Target struct {
	// Service is the name of the service.
	Service string
	// Weight is the share of requests relative to the other targets.
	Weight int
}
