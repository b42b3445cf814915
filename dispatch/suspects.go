package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/quarantine"
)

// Suspects speaks to the other daemons of the data centre about suspects.
type Suspects interface {
	// Publish returns once every daemon that can be reached took the suspects, or the context ended.
	Publish(ctx context.Context, suspects []quarantine.Suspect)
	// Reserve asks the daemon that arbitrates the upstream for the right to run one suspect there, and
	// reports false if another suspect runs there. A daemon that cannot reach the arbiter decides alone.
	// The holder is the identifier of the request. The right is given back by calling release.
	Reserve(ctx context.Context, upstream, holder string) (release func(), ok bool)
}
