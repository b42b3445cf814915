package front

import (
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/protocol"
)

// updateProtocolMetrics sets the numbers of live daemons by the version of the protocol that they told.
func (daemon *Daemon) updateProtocolMetrics(live []mesh.Peer) {
	counts := map[protocol.Relation]int64{protocol.Same: 0, protocol.Older: 0, protocol.Newer: 0}
	for _, peer := range live {
		counts[daemon.protocols.Version(peer.Name).Relation()]++
	}
	for relation, count := range counts {
		daemon.meter.Set(meter.DaemonsByProtocol, meter.Labels{Kind: string(relation)}, count)
	}
}
