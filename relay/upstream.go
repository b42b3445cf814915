package relay

import (
	"context"

	"github.com/bronzestall/bronzestall/exchange"
)

// Upstream sends requests to replicas.
type Upstream interface {
	// Send makes one attempt and returns the response once its head was read. It fails with exchange.ErrNotSent,
	// exchange.ErrLost or exchange.ErrInvalidResponse.
	Send(ctx context.Context, request *exchange.Request, attempt exchange.Attempt) (*exchange.Reply, error)
}
