package exchange

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Attempt describes one attempt to send a request to a replica.
type Attempt struct {
	// Replica is the incarnation that the request is for; no other one may run it.
	Replica topology.Incarnation
	// Address is the IP address and port of the replica.
	Address string
	// Budget is the time in which the replica may work on the request.
	Budget time.Duration
	// Priority orders the requests in an engine; zero is the most urgent. It is sent only if HasPriority is set.
	Priority int
	// HasPriority states that Priority is sent.
	HasPriority bool
	// AtMostOnce states that the request must not be retried after an attempt that may have run it.
	AtMostOnce bool
	// SentBefore states that the request was sent to the replica before. A late copy of the response to that attempt would
	// pass for the response to this one.
	SentBefore bool
	// Counted states that the attempt counts against the limit that the replica named. Others are not sent to a replica
	// with a limit.
	Counted bool
	// ResumeAfter is the ID of the last event that the client has received within this response; without one, the replica goes by the
	// headers of the request.
	ResumeAfter EventID
}
