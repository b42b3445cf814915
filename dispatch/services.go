package dispatch

import (
	"context"

	"github.com/bronzestall/bronzestall/request"
)

// Response is the whole response of a plain service.
type Response struct {
	// Status is the HTTP status.
	Status int
	// ContentType is the content type of Body.
	ContentType string
	// Body is the whole body.
	Body []byte
}

// Services calls plain services.
type Services interface {
	// Call sends the call to the upstream once. Its errors are those of upstream.Generator.Generate and
	// upstream.ErrTruncated.
	Call(ctx context.Context, name string, req request.Request) (Response, error)
}
