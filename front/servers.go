package front

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"github.com/bronzestall/bronzestall/event"
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

// servers holds the HTTP servers of a daemon and their listeners, by the same index.
type servers struct {
	// clients is the server in all that handles client requests.
	clients   *http.Server
	all       []*http.Server
	listeners []net.Listener
}

// listen opens all listeners, or none if one fails.
func (daemon *Daemon) listen() (*servers, error) {
	clients := &http.Server{
		Handler:           daemon.ingress,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	opened := &servers{clients: clients}
	peers := http.NewServeMux()
	peers.Handle("/", daemon.mesh.Handler())
	peers.Handle(lending.Path, daemon.lent)
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", daemon.meter.Handler())
	for _, next := range []struct {
		address string
		server  *http.Server
	}{
		{daemon.settings.ClientAddress, clients},
		{daemon.settings.ReadyAddress, &http.Server{Handler: ingress.Ready(daemon.isReady), ReadHeaderTimeout: headerTimeout}},
		{daemon.settings.PeerAddress, &http.Server{Handler: peers, ReadHeaderTimeout: headerTimeout}},
		{daemon.settings.MetricsAddress, &http.Server{Handler: metrics, ReadHeaderTimeout: headerTimeout}},
	} {
		if next.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", next.address)
		if err != nil {
			opened.close()
			return nil, trace.Wrap(err, "cannot listen on %s", next.address)
		}
		opened.all = append(opened.all, next.server)
		opened.listeners = append(opened.listeners, listener)
	}
	return opened, nil
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

// shutdown accepts no more connections, waits at most for the timeout until accepted requests are answered,
// and closes everything.
func (servers *servers) shutdown(timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	// Requests that are not answered within the timeout are aborted.
	_ = servers.clients.Shutdown(ctx)
	servers.close()
}

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
	daemon.ingress.DisableKeepAlives()
	event.FrontStopping.Log("Daemon", daemon.settings.Name, "Running", daemon.ingress.InFlight())
	daemon.drain(started.Add(unreadyDelay), false)
	daemon.relay.StopAccepting()
	daemon.drain(started.Add(daemon.settings.Grace-finalAnswerReserve), true)
	aborted := daemon.ingress.InFlight()
	daemon.relay.CancelRequests()
	daemon.drain(started.Add(daemon.settings.Grace-exitReserve), true)
	servers.shutdown(max(started.Add(daemon.settings.Grace-exitReserve).Sub(daemon.clock.Now()), 0))
	event.FrontStopped.Log("Daemon", daemon.settings.Name, "Cut", aborted, "Took", daemon.clock.Since(started))
}
