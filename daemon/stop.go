package daemon

import (
	"context"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/peer"
)

// drain fails the health check, waits until the balancer has noticed, closes the callers' listener
// and lets running requests finish within the limit.
func (daemon *Daemon) drain() dispatch.Drained {
	daemon.dispatcher.Announce()
	event.DaemonDraining.Log("Running", daemon.arrivals.running())
	daemon.health.stopping.Store(true)
	daemon.node.Update(func(record peer.Record) peer.Record {
		record.Leaving = true
		return record
	})
	daemon.callers.refuseReuse()
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

// close ends the listeners for operators and peers and all connections.
func (daemon *Daemon) close() {
	_ = daemon.operators.http.Close()
	_ = daemon.peers.http.Close()
	daemon.pool.close()
	daemon.platform.Close()
	if client, ok := daemon.deps.PeerClient.(interface{ CloseIdleConnections() }); ok {
		client.CloseIdleConnections()
	}
}
