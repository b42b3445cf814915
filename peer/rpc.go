package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/bronzestall/bronzestall/internal/rpc"
	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// The procedures between daemons.
const (
	service           = "/bronzestall.peer.Peer/"
	exchangeProcedure = service + "Exchange"
	demandProcedure   = service + "Demand"
	changesProcedure  = service + "Changes"
	grantProcedure    = service + "Grant"
	suspectsProcedure = service + "Suspects"
	reserveProcedure  = service + "Reserve"
)

// maxMessageBytes is the largest size of a message.
const maxMessageBytes = 16 << 20

// compressMinBytes is the size from which responses are compressed. Most exchanges are smaller, and compressing
// them costs more than sending them.
const compressMinBytes = 16 << 10

// ErrNotOffered means that the called daemon does not serve the procedure.
var ErrNotOffered = errors.New("call is not offered")

// client sends calls to other daemons.
type client struct {
	httpClient connect.HTTPClient
	// scheme is the URL prefix of peer addresses.
	scheme string
}

func newRPCClient(settings Settings) *client {
	scheme := "http://"
	if settings.UseTLS {
		scheme = "https://"
	}
	return &client{httpClient: settings.Client, scheme: scheme}
}

// limits bounds the messages between daemons.
var limits = rpc.Limits{MaxMessageBytes: maxMessageBytes, CompressMinBytes: compressMinBytes}

// call sends a request to the procedure at the address and returns the response.
func call[Request, Response any](ctx context.Context, client *client, address, procedure string, request *Request) (*Response, error) {
	return rpc.Call[Request, Response](ctx, client.httpClient, client.scheme+address+procedure, request, limits)
}

func (client *client) exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return call[peerpb.ExchangeRequest, peerpb.ExchangeResponse](ctx, client, address, exchangeProcedure, request)
}

// Handler returns the HTTP handler of all calls between daemons. It serves the paths below /bronzestall.peer.Peer/.
func (node *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, exchangeProcedure, func(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
		return node.handleRequest(request), nil
	})
	handle(mux, demandProcedure, node.serveDemand)
	handle(mux, changesProcedure, node.serveChanges)
	handle(mux, grantProcedure, node.serveGrant)
	handle(mux, suspectsProcedure, node.serveSuspects)
	handle(mux, reserveProcedure, node.serveReserve)
	return mux
}

// handle registers the handler of one procedure.
func handle[Request, Response any](mux *http.ServeMux, procedure string, serve func(context.Context, *Request) (*Response, error)) {
	rpc.Handle(mux, procedure, serve, errorCode, limits)
}

// errorCode returns the connect code of an error.
func errorCode(err error) connect.Code {
	if errors.Is(err, ErrNotOffered) {
		return connect.CodeUnimplemented
	}
	return connect.CodeUnavailable
}
