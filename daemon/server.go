package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

// headerTimeout bounds the time in which a client sends the head of a request.
const headerTimeout = 10 * time.Second

// server is one listener with its HTTP server.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen opens the address. An empty address gives a server that serves nothing.
func (daemon *Daemon) listen(address string, handler http.Handler) (*server, error) {
	made := &server{http: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	if address == "" {
		return made, nil
	}
	listener, err := daemon.deps.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s", address)
	}
	made.listener = listener
	return made, nil
}

// serve serves until the server is shut down.
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

// refuseReuse asks clients to open a new connection for their next request.
func (server *server) refuseReuse() {
	server.http.SetKeepAlivesEnabled(false)
}

// shutdown closes the listener and waits for running requests until ctx ends; it then closes their connections.
func (server *server) shutdown(ctx context.Context) {
	if err := server.http.Shutdown(ctx); err != nil {
		_ = server.http.Close()
	}
}
