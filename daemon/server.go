package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/inbound"
)

// headerTimeout is the time within which a client must send the header of a request.
const headerTimeout = 10 * time.Second

// server is an HTTP server with its listener, which is nil for a server without an address.
type server struct {
	listener net.Listener
	http     *http.Server
	// connections tracks the connections of a server that is stopped by shutdown, and is nil for others.
	connections *inbound.Connections
}

// listen opens the address. An empty address returns a server that accepts no connections.
func (daemon *Daemon) listen(address string, handler http.Handler) (*server, error) {
	result := &server{http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	if address == "" {
		return result, nil
	}
	listener, err := daemon.deps.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	result.listener = listener
	return result, nil
}

// track makes the server track its connections, as disableKeepAlives and shutdown need.
func (server *server) track() {
	server.connections = inbound.New()
	if server.listener != nil {
		server.listener = server.connections.Track(server.http, server.listener)
	}
}

// closeListeners closes the listeners that are open.
func (daemon *Daemon) closeListeners() {
	for _, opened := range []*server{daemon.callers, daemon.operators, daemon.peers} {
		if opened != nil && opened.listener != nil {
			// Nothing was accepted yet, so that nothing is lost.
			_ = opened.listener.Close()
		}
	}
}

// serve accepts connections until the server is shut down, and returns nil then. Without a listener it
// returns at once.
func (server *server) serve() error {
	if server.listener == nil {
		return nil
	}
	err := server.http.Serve(server.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return trace.Wrap(err)
}

// disableKeepAlives makes a server that tracks its connections close each connection after its next response.
func (server *server) disableKeepAlives() {
	server.connections.CloseAfterResponses()
}

// shutdown closes the listener of a server that tracks its connections and waits until ctx ends for the requests that were read; it then closes their connections.
func (server *server) shutdown(ctx context.Context, clk clock.WithTicker) {
	server.connections.Drain(ctx, clk)
	_ = server.http.Close()
}
