package topology

import "time"

// Route tells where requests of one host and path go and how they are treated.
type Route struct {
	// Name is unique in a configuration.
	Name string
	// Host is compared with the host of a request.
	Host string
	// PathPrefix begins and ends with a slash.
	PathPrefix string
	// Kind tells how often a request may run.
	Kind Kind
	// Timeout is the longest time that a client is kept waiting.
	Timeout time.Duration
	// LatencyTarget is the time to the answer, or to the first event of a stream.
	LatencyTarget time.Duration
	// GapTarget is the longest pause between two events of a stream.
	GapTarget time.Duration
	// Priority is the rank of the route; zero is the highest.
	Priority int
	// Targets lists the services that share the requests by weight; it has at least one entry.
	Targets []Target
	// MaxAttempts is the largest number of replicas that may run one request; it is at least one.
	MaxAttempts int
	// Sticky states that requests name the shared parts of their prompts.
	Sticky bool
	// Resumable states that a stream may go on at another replica after the last event that was received.
	Resumable bool
}

// Repeatable reports whether a request of the route may run more than once.
func (route *Route) Repeatable() bool {
	return route.Kind == Idempotent || (route.Kind == Streaming && route.Resumable)
}

// Target is one service of a route.
type Target struct {
	// Service is the name of the service.
	Service string
	// Weight is the share of the requests, relative to the other targets.
	Weight int
}
