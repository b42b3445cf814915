// Package rpc makes and serves unary calls between daemons over the Connect protocol.
package rpc

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"
)

// Limits configures the sizes of messages in bytes.
type Limits struct {
	// MaxMessageBytes is the largest size of a message.
	MaxMessageBytes int
	// CompressMinBytes is the size from which responses are compressed.
	CompressMinBytes int
}

// Call sends the request to the procedure at the URL and returns the response.
func Call[Request, Response any](ctx context.Context, client connect.HTTPClient, url string, request *Request, limits Limits) (*Response, error) {
	procedure := connect.NewClient[Request, Response](client, url, connect.WithReadMaxBytes(limits.MaxMessageBytes))
	response, err := procedure.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

// Handle registers the handler of one procedure. code maps an error of serve to its connect code.
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
