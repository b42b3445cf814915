package balance

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Criteria is what a request needs.
type Criteria struct {
	// Tokens is the length of the prompt; zero for a plain service.
	Tokens int
	// DaemonIndex is the place of the daemon among all; daemons with different seats prefer different replicas.
	DaemonIndex int
	// Zone is the data centre of the daemon.
	Zone string
	// Priority is the urgency of the request, and Aim the time within which its caller expects the first
	// event; a zero Aim means that waits for first events are not counted.
	Priority         int
	FirstEventTarget time.Duration
	// AdmissionQuantile is the place of the request among those that compete for a crowded replica, from zero to one.
	AdmissionQuantile float64
	// MaxLoad is the number of requests in flight, as a multiple of its slots, from which a replica is not
	// chosen; zero means no limit.
	MaxLoad float64
	// Exclude lists replicas that were tried.
	Exclude []topology.Incarnation
}

// Candidate is a replica that can serve the request.
type Candidate struct {
	topology.Incarnation
	// Address is the IP address and port.
	Address string
	// Zone is its data centre.
	Zone string
	// Slots is the number of requests that it runs at once; it is at least one.
	Slots int
	// ChosenAt is when it was chosen; it is set by Choose.
	ChosenAt time.Time
	// QueuedAhead is the number of requests that were to get their first event before it; it is set by Choose.
	QueuedAhead int
	// InFlight is the number of requests at it, as far as known; it is set by Choose.
	InFlight int
}
