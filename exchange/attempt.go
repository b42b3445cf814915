package exchange

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Attempt is one sending of a request to a replica.
type Attempt struct {
	// Replica is where the request goes; another incarnation must not run it.
	Replica topology.Incarnation
	// Address is the IP address and port of the replica.
	Address string
	// Budget is the time in which the replica may work on the request.
	Budget time.Duration
	// Priority orders the requests in an engine; zero is first. It is not sent if Ranked is false.
	Priority int
	// HasPriority states that Urgency is sent.
	HasPriority bool
	// AtMostOnce states that the request must not be sent again if this attempt fails.
	AtMostOnce bool
	// ResumeAfter is the number of the last event that the client has; zero starts at the beginning.
	ResumeAfter uint64
}
