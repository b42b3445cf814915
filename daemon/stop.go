package daemon

import (
	"context"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer"
)

// drain shuts down the request path: it fails the health check, waits for the notice time of the settings,
// so that the load balancer stops sending, closes the callers' listener and lets running requests finish
// within the limit.
func (daemon *Daemon) drain() dispatch.DrainResult {
	daemon.dispatcher.AnnounceDrain()
	event.DaemonDraining.Log("Running", daemon.arrivals.running())
	daemon.health.stopping.Store(true)
	daemon.node.Update(func(record peer.Record) peer.Record {
		record.Leaving = true
		return record
	})
	daemon.callers.disableKeepAlives()
	daemon.clock.Sleep(daemon.settings.Drain.Notice)
	ctx, cancel := context.WithTimeout(context.Background(), daemon.settings.Drain.Limit)
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		daemon.callers.shutdown(ctx)
	}()
	drained := daemon.dispatcher.Drain(ctx)
	daemon.claims.Flush(ctx)
	<-closed
	return drained
}

// close closes the operators' and peers' servers and all connections to upstreams, platform and peers.
func (daemon *Daemon) close() {
	_ = daemon.operators.http.Close()
	_ = daemon.peers.http.Close()
	daemon.pool.close()
	daemon.platform.Close()
	if client, ok := daemon.deps.PeerClient.(interface{ CloseIdleConnections() }); ok {
		client.CloseIdleConnections()
	}
}
