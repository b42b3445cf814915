package front

import (
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// ObserveLimit records what a response of the incarnation states about the limit of the replica.
func (listener replicaListener) ObserveLimit(incarnation topology.Incarnation, observed ratelimit.Observation) {
	if change, changed := listener.limits.Observe(incarnation, observed); changed {
		logLimit(incarnation, change, "Replica")
	}
}

// logLimit logs how the limit of the incarnation changed. source is "Replica" for a response and "Daemon" for another
// daemon.
func logLimit(incarnation topology.Incarnation, change ratelimit.Change, source string) {
	logged := event.LimitChanged
	switch {
	case change.From == 0:
		logged = event.LimitNamed
	case change.To == 0:
		logged = event.LimitEnded
	}
	logged.Log("Replica", incarnation.ID, "Born", incarnation.Started, "From", change.From, "To", change.To, "Source", source)
}

// countSent counts a request that is sent to a replica with a limit.
func (daemon *Daemon) countSent(incarnation topology.Incarnation) {
	if _, limited := daemon.limits.Limit(incarnation); limited {
		daemon.meter.Count(meter.LimitedSent, meter.Labels{Subject: incarnation.ID}, 1)
	}
}

// updateLimitMetrics sets the metrics of the limits that replicas named.
func (daemon *Daemon) updateLimitMetrics(now time.Time) {
	for _, entry := range daemon.limits.All() {
		labels := meter.Labels{Subject: entry.ID}
		daemon.meter.Set(meter.ReplicaLimit, labels, int64(entry.PerSecond*limitMilli))
		daemon.meter.Set(meter.ReplicaLimitAge, labels, now.Sub(entry.Confirmed).Milliseconds())
	}
}

// limitMilli is the factor of limits in metrics.
const limitMilli = 1000
