package relay

import (
	"context"

	"github.com/bronzestall/bronzestall/exchange"
)

// Upstream sends a request to a replica once.
type Upstream interface {
	// Send returns the answer once its head is there. It fails with exchange.ErrNotSent,
	// exchange.ErrLost or exchange.ErrForeign.
	Send(ctx context.Context, request *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error)
}
