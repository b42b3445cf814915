package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/inbound"
	"github.com/bronzestall/bronzestall/ingress"
	"github.com/bronzestall/bronzestall/lending"
)

// The bounds of client connections. They exceed what any configuration is expected to allow clients, whose
// own limits are shorter.
const (
	headerTimeout     = 10 * time.Second
	clientIdleTimeout = 5 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// The bounds of a readiness check, whose request has a few short headers and no body.
const (
	readyTimeout        = 2 * time.Second
	maxReadyHeaderBytes = 4 << 10
)

// servers holds the HTTP servers of a daemon and their listeners, by the same index.
type servers struct {
	// all begins with the server that handles client requests, whose connections are tracked.
	all         []*http.Server
	listeners   []net.Listener
	connections *inbound.Connections
}

// newServers returns the servers with that of the clients, which accepts from the listener.
func newServers(clients *http.Server, listener net.Listener) *servers {
	connections := inbound.New()
	return &servers{all: []*http.Server{clients}, listeners: []net.Listener{connections.Track(clients, listener)}, connections: connections}
}

// listen opens all listeners, or none if one fails.
func (daemon *Daemon) listen() (*servers, error) {
	clients := &http.Server{
		Handler:           daemon.ingress,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	listener, err := listenAt(daemon.settings.ClientAddress)
	if err != nil {
		return nil, err
	}
	opened := newServers(clients, listener)
	opened.connections.Bound(daemon.settings.clientConnections())
	opened.connections.BoundWrites(daemon.settings.ResponseProgress)
	daemon.clientConnections.Store(opened.connections)
	peers := http.NewServeMux()
	peers.Handle("/", daemon.mesh.Handler())
	peers.Handle(lending.Path, daemon.lent)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", daemon.meter.Handler())
	for _, next := range []struct {
		address string
		server  *http.Server
		// most bounds the open connections; zero for no bound.
		most int
	}{
		{daemon.settings.ReadyAddress, readyServer(daemon.isReady), daemon.settings.readyConnections()},
		{daemon.settings.PeerAddress, &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout}, 0},
		{daemon.settings.MetricsAddress, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}, 0},
	} {
		if next.address == "" {
			continue
		}
		listener, err := listenAt(next.address)
		if err != nil {
			opened.close()
			return nil, err
		}
		if next.most > 0 {
			listener = boundConnections(next.server, listener, next.most)
		}
		opened.all = append(opened.all, next.server)
		opened.listeners = append(opened.listeners, listener)
	}
	return opened, nil
}

// readyServer returns the server of the readiness check, which needs tiny requests only.
func readyServer(isReady func() bool) *http.Server {
	return &http.Server{
		Handler:           ingress.Ready(isReady),
		ReadHeaderTimeout: readyTimeout,
		ReadTimeout:       readyTimeout,
		WriteTimeout:      readyTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxReadyHeaderBytes,
	}
}

// boundConnections returns the listener with a bound of the connections that the server has open.
func boundConnections(server *http.Server, listener net.Listener, most int) net.Listener {
	connections := inbound.New()
	connections.Bound(most)
	return connections.Track(server, listener)
}

// listenAt listens at the TCP address.
func listenAt(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	return listener, trace.Wrap(err, "cannot listen on %s", address)
}

// serve accepts connections on all listeners until they are closed.
func (servers *servers) serve(group *errgroup.Group) {
	for index, server := range servers.all {
		listener := servers.listeners[index]
		group.Go(func() error {
			err := server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return trace.Wrap(err)
		})
	}
}

// drain accepts no more connections of clients, closes those on which no request has arrived, and waits at most for the timeout until
// the requests that did are answered.
func (servers *servers) drain(timeout time.Duration, clk clock.WithTicker) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	servers.connections.Drain(ctx, clk)
}

// close closes all connections and listeners.
func (servers *servers) close() {
	for _, server := range servers.all {
		_ = server.Close()
	}
	for _, listener := range servers.listeners {
		_ = listener.Close()
	}
}

const (
	// unreadyDelay is how long the load balancer needs to detect that the daemon is not ready.
	unreadyDelay = 2500 * time.Millisecond
	// finalAnswerReserve is the part of the grace time that is reserved for final responses, and exitReserve
	// the part reserved for closing the servers and ending the process.
	finalAnswerReserve = 800 * time.Millisecond
	exitReserve        = 250 * time.Millisecond
	// drainInterval is the interval of checking whether requests are in flight.
	drainInterval = 50 * time.Millisecond
)

// drain waits until the given time. If untilIdle is set, it returns as soon as no request is in flight.
func (daemon *Daemon) drain(until time.Time, untilIdle bool) {
	for daemon.clock.Now().Before(until) && (!untilIdle || daemon.ingress.InFlight()+daemon.lent.InFlight() > 0) {
		daemon.clock.Sleep(drainInterval)
	}
}

// stop fails the readiness check, releases the lease, lets requests finish within the grace time and closes
// the listeners. Requests that are accepted until the listeners close are answered too.
func (daemon *Daemon) stop(servers *servers) {
	started := daemon.clock.Now()
	daemon.stopping.Store(true)
	close(daemon.stopStarted)
	servers.connections.CloseAfterResponses()
	event.FrontStopping.Log("Daemon", daemon.settings.Name, "Running", daemon.ingress.InFlight())
	daemon.drain(started.Add(unreadyDelay), false)
	daemon.relay.StopAccepting()
	daemon.drain(started.Add(daemon.settings.Grace-finalAnswerReserve), true)
	aborted := daemon.ingress.InFlight()
	daemon.relay.CancelRequests()
	daemon.drain(started.Add(daemon.settings.Grace-exitReserve), true)
	servers.drain(max(started.Add(daemon.settings.Grace-exitReserve).Sub(daemon.clock.Now()), 0), daemon.clock)
	daemon.ingress.LogHeld()
	servers.close()
	event.FrontStopped.Log("Daemon", daemon.settings.Name, "Cut", aborted, "Took", daemon.clock.Since(started))
}
