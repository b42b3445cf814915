package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/topology"
)

// TakeUp describes the stream with which a request goes on.
type TakeUp struct {
	// Origin is what began the stream, and Source how that is known.
	Origin origin.Origin
	Source origin.Source
	// Age is how long this daemon knew the origin when the request came; zero if it did not.
	Age time.Duration
}

// Summary describes how a request was served, for logs.
type Summary struct {
	// Route is the name of the route, and Configuration the version of the configuration that defines it.
	Route         string
	Configuration uint64
	// Fingerprint is that of the request; zero if no route was found.
	Fingerprint uint64
	// Replica is the replica of the last attempt.
	Replica topology.Incarnation
	// InFlight is the number of requests known to be in flight at that replica when it was chosen.
	InFlight int
	// Sends is the number of attempts.
	Sends int
	// Runs is the number of replicas that may have run the request.
	Runs int
	// EndedBy tells who ended the last attempt that did not answer the request; empty if all attempts did.
	EndedBy Ender
	// Lender is the daemon through which the last attempt went; empty if there was none.
	Lender string
	// TakeUp states with what the request goes on; nil if it begins anew.
	TakeUp *TakeUp
	// Waited is how long the request waited for its model or adapter, and for capacity.
	Waited time.Duration
}
