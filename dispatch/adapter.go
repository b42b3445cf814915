package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/request"
)

// loadAdapter puts the adapter of the request on the replica of the place if it is not there.
func (dispatcher *Dispatcher) loadAdapter(_ context.Context, _ *request.Request, _ *place) error {
	return nil
}
