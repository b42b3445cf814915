package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Summary is what decided how a request was served, for logs.
type Summary struct {
	// Route is the name of its route, and Configuration the version that told it.
	Route         string
	Configuration uint64
	// Fingerprint is that of the request, zero if no route was found.
	Fingerprint uint64
	// Replica is the replica of the last sending.
	Replica topology.Incarnation
	// InFlight is the number of requests at that replica when it was chosen, as far as known.
	InFlight int
	// Sends is the number of sendings.
	Sends int
	// Waited is the time for which it waited for its model or adapter.
	Waited time.Duration
}
