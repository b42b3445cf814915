package relay

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// Prover knows when replicas responded to this daemon last. It is safe for concurrent use.
type Prover interface {
	// Responded reports whether a byte of the replica has come since the time. If none has, it sends the replica a probe, so that a
	// later call finds its answer, and does not wait for it. The end of ctx does not end the probe.
	Responded(ctx context.Context, replica topology.Incarnation, since time.Time) bool
}
