package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/peer/peerpb"
)

// The procedures of the exchange.
const (
	service           = "/bronzestall.peer.Peer/"
	exchangeProcedure = service + "Exchange"
	demandProcedure   = service + "Demand"
	changesProcedure  = service + "Changes"
	grantProcedure    = service + "Grant"
	suspectsProcedure = service + "Suspects"
	reserveProcedure  = service + "Reserve"
)

// messageLimit is the largest message in bytes.
const messageLimit = 16 << 20

// compressFrom is the size in bytes from which answers are compressed. Most
// exchanges are smaller, and compressing them costs more than sending them.
const compressFrom = 16 << 10

// ErrNotOffered means that the called daemon has no part that answers the call.
var ErrNotOffered = errors.New("call is not offered")

// wire sends calls to other daemons.
type wire struct {
	client connect.HTTPClient
	// scheme stands before the address of a peer.
	scheme string
}

func newWire(settings Settings) *wire {
	scheme := "http://"
	if settings.Secure {
		scheme = "https://"
	}
	return &wire{client: settings.Client, scheme: scheme}
}

// call sends one message to the procedure at the address.
func call[Request, Response any](ctx context.Context, wire *wire, address, procedure string, request *Request) (*Response, error) {
	client := connect.NewClient[Request, Response](wire.client, wire.scheme+address+procedure, connect.WithReadMaxBytes(messageLimit))
	response, err := client.CallUnary(ctx, connect.NewRequest(request))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return response.Msg, nil
}

func (wire *wire) exchange(ctx context.Context, address string, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return call[peerpb.ExchangeRequest, peerpb.ExchangeResponse](ctx, wire, address, exchangeProcedure, request)
}

// Handler returns the handler of all calls between daemons. It serves the paths below /bronzestall.peer.Peer/.
func (node *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	handle(mux, exchangeProcedure, func(_ context.Context, request *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
		return node.answer(request), nil
	})
	handle(mux, demandProcedure, node.serveDemand)
	handle(mux, changesProcedure, node.serveChanges)
	handle(mux, grantProcedure, node.serveGrant)
	handle(mux, suspectsProcedure, node.serveSuspects)
	handle(mux, reserveProcedure, node.serveReserve)
	return mux
}

// handle mounts one procedure.
func handle[Request, Response any](mux *http.ServeMux, procedure string, serve func(context.Context, *Request) (*Response, error)) {
	unary := func(ctx context.Context, request *connect.Request[Request]) (*connect.Response[Response], error) {
		response, err := serve(ctx, request.Msg)
		if errors.Is(err, ErrNotOffered) {
			return nil, connect.NewError(connect.CodeUnimplemented, err)
		}
		if err != nil {
			return nil, connect.NewError(connect.CodeUnavailable, err)
		}
		return connect.NewResponse(response), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, unary, connect.WithReadMaxBytes(messageLimit), connect.WithCompressMinBytes(compressFrom)))
}
