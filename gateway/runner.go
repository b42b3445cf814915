package gateway

import (
	"context"

	"github.com/bronzestall/bronzestall/request"
)

// Runner runs admitted requests.
type Runner interface {
	// Do writes the complete response to sink, or returns an *outcome.Error.
	Do(ctx context.Context, req request.Request, sink request.Sink) error
}
