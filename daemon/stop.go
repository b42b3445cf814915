package daemon

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer"
)

// writeTime is how long the callers' connections stay open for the final responses, once the limit of the drain is over.
const writeTime = 2 * time.Second

// drain shuts down the request path: it fails the health check, waits for the notice time of the settings,
// so that the load balancer stops sending, closes the callers' listener and lets running requests finish
// within the limit. What still runs then gets a final response.
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
	answered, cancelAnswered := context.WithTimeout(context.Background(), daemon.settings.Drain.Limit+writeTime)
	defer cancelAnswered()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		daemon.callers.shutdown(answered, daemon.clock)
	}()
	drained := daemon.dispatcher.Drain(ctx)
	daemon.claims.Flush(answered)
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
