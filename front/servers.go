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
)

// The bounds of connections from clients. They lie beyond what any configuration is expected to allow
// clients, whose own bounds are shorter.
const (
	headerTimeout = 10 * time.Second
	clientIdle    = 5 * time.Minute
	headerBytes   = 64 << 10
)

// servers are the listeners of a daemon.
type servers struct {
	// clients is the one of all that takes the requests of clients.
	clients *http.Server
	all     []*http.Server
	listens []net.Listener
}

// listen opens all listeners, or none.
func (daemon *Daemon) listen() (*servers, error) {
	clients := &http.Server{
		Handler:           daemon.ingress,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       clientIdle,
		MaxHeaderBytes:    headerBytes,
	}
	opened := &servers{clients: clients}
	metrics := http.NewServeMux()
	metrics.Handle("/metrics", daemon.meter.Handler())
	for _, next := range []struct {
		address string
		server  *http.Server
	}{
		{daemon.settings.ClientAddress, clients},
		{daemon.settings.ReadyAddress, &http.Server{Handler: ingress.Ready(daemon.isReady), ReadHeaderTimeout: headerTimeout}},
		{daemon.settings.PeerAddress, &http.Server{Handler: daemon.mesh.Handler(), ReadHeaderTimeout: headerTimeout}},
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
		opened.listens = append(opened.listens, listener)
	}
	return opened, nil
}

// serve serves on all listeners until they are closed.
func (servers *servers) serve(group *errgroup.Group) {
	for index, server := range servers.all {
		listener := servers.listens[index]
		group.Go(func() error {
			err := server.Serve(listener)
			if errors.Is(err, http.ErrServerClosed) {
				return nil
			}
			return trace.Wrap(err)
		})
	}
}

// finish takes no more connections, waits for the answers to requests that were accepted meanwhile, at most for the time,
// and closes everything.
func (servers *servers) finish(within time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	// What is not answered by then is cut.
	_ = servers.clients.Shutdown(ctx)
	servers.close()
}

func (servers *servers) close() {
	for _, server := range servers.all {
		_ = server.Close()
	}
	for _, listener := range servers.listens {
		_ = listener.Close()
	}
}

const (
	// noticeTime is how long the balancer needs to notice that the daemon is not ready.
	noticeTime = 2500 * time.Millisecond
	// cutReserve is the part of the grace time that is kept for final answers, and endReserve that for ending.
	cutReserve = 800 * time.Millisecond
	endReserve = 250 * time.Millisecond
	// drainStep is the interval of looking whether requests are left.
	drainStep = 50 * time.Millisecond
)

// drain waits until the time, or until no request is left if early is set.
func (daemon *Daemon) drain(until time.Time, early bool) {
	for daemon.clock.Now().Before(until) && (!early || daemon.ingress.InFlight() > 0) {
		daemon.clock.Sleep(drainStep)
	}
}

// stop fails the readiness check, gives up the lease, lets requests finish within the grace time and
// closes the listeners. Requests that are accepted until the listeners close are answered too.
func (daemon *Daemon) stop(servers *servers) {
	begun := daemon.clock.Now()
	daemon.stopping.Store(true)
	close(daemon.stopBegun)
	daemon.ingress.DisableKeepAlives()
	event.FrontStopping.Log("Daemon", daemon.settings.Name, "Running", daemon.ingress.InFlight())
	daemon.drain(begun.Add(noticeTime), false)
	daemon.relay.StopAccepting()
	daemon.drain(begun.Add(daemon.settings.Grace-cutReserve), true)
	cut := daemon.ingress.InFlight()
	daemon.relay.CancelRequests()
	daemon.drain(begun.Add(daemon.settings.Grace-endReserve), true)
	servers.finish(max(begun.Add(daemon.settings.Grace-endReserve).Sub(daemon.clock.Now()), 0))
	event.FrontStopped.Log("Daemon", daemon.settings.Name, "Cut", cut, "Took", daemon.clock.Since(begun))
}
