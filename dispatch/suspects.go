package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/quarantine"
)

// Suspects coordinates suspects with the other daemons of the data centre.
type Suspects interface {
	// Publish sends the suspects to the other daemons. It returns once every reachable daemon has received
	// them, or the context ended.
	Publish(ctx context.Context, suspects []quarantine.Suspect)
	// Reserve requests from the daemon that arbitrates the upstream the right to run one suspect there, and
	// reports false if another suspect runs there. If the arbiter cannot be reached, the daemon decides alone.
	// holder is the ID of the request. The caller must call release to return the right.
	Reserve(ctx context.Context, upstream, holder string) (release func(), ok bool)
}
