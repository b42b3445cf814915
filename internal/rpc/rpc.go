// Package rpc makes and serves calls of one message between daemons by connect.
package rpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
)

// Limits bounds messages in bytes.
type Limits struct {
	// MaxMessageBytes is the largest message.
	MaxMessageBytes int
	// CompressMinBytes is the size from which answers are compressed.
	CompressMinBytes int
}

// Call sends one message to the procedure at the URL.
func Call[Request, Response any](ctx context.Context, client connect.HTTPClient, url string, request *Request, limits Limits) (*Response, error) {
	caller := connect.NewClient[Request, Response](client, url, connect.WithReadMaxBytes(limits.MaxMessageBytes))
	response, err := caller.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

// Handle mounts one procedure. code returns the code of a failure.
func Handle[Request, Response any](
	mux *http.ServeMux, procedure string, serve func(context.Context, *Request) (*Response, error), code func(error) connect.Code, limits Limits,
) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := serve(ctx, request.Msg)
		if err != nil {
			return nil, connect.NewError(code(err), err)
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithReadMaxBytes(limits.MaxMessageBytes), connect.WithCompressMinBytes(limits.CompressMinBytes)))
}
