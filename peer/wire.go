package peer

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"

	"github.com/bronzestall/bronzestall/internal/rpc"
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
	if settings.UseTLS {
		scheme = "https://"
	}
	return &wire{client: settings.Client, scheme: scheme}
}

// limits bounds the messages between daemons.
var limits = rpc.Limits{Message: messageLimit, CompressFrom: compressFrom}

// call sends one message to the procedure at the address.
func call[Request, Response any](ctx context.Context, wire *wire, address, procedure string, request *Request) (*Response, error) {
	return rpc.Call[Request, Response](ctx, wire.client, wire.scheme+address+procedure, request, limits)
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
	rpc.Handle(mux, procedure, serve, codeOf, limits)
}

// codeOf returns the code of a failure.
func codeOf(err error) connect.Code {
	if errors.Is(err, ErrNotOffered) {
		return connect.CodeUnimplemented
	}
	return connect.CodeUnavailable
}
