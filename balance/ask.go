package balance

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Ask is what a request needs.
type Ask struct {
	// Tokens is the length of the prompt; zero for a plain service.
	Tokens int
	// Seat is the place of the daemon among all; daemons with different seats prefer different replicas.
	Seat int
	// Zone is the data centre of the daemon.
	Zone string
	// Rank is the urgency of the request, and Aim the time within which its caller expects the first
	// event; a zero Aim means that waits for first events are not counted.
	Rank int
	Aim  time.Duration
	// Luck is the place of the request among those that compete for a crowded replica, from zero to one.
	Luck float64
	// Fullest is the number of requests in flight, as a multiple of its slots, from which a replica is not
	// chosen; zero means no limit.
	Fullest float64
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
	// Sent is when it was chosen; it is set by Choose.
	Sent time.Time
	// Ahead is the number of requests that were to get their first event before it; it is set by Choose.
	Ahead int
	// InFlight is the number of requests at it, as far as known; it is set by Choose.
	InFlight int
}
