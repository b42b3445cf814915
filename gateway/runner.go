package gateway

import (
	"context"

	"github.com/bronzestall/bronzestall/request"
)

// Runner answers one request in full or returns an *outcome.Error.
type Runner interface {
	Do(ctx context.Context, req request.Request, sink request.Sink) error
}
