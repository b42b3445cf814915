package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/quarantine"
)

// Suspects tells the other daemons of the data centre of suspects.
type Suspects interface {
	// Publish returns once every daemon that can be reached took the suspects, or the context ended.
	Publish(ctx context.Context, suspects []quarantine.Suspect)
}
