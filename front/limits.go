package front

import (
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// limitsPerGreeting is the number of limits in one greeting, unless more have changed lately.
	limitsPerGreeting = 8
	// joinTimeout is the longest time for which a daemon waits for another one to tell it the limits of replicas before
	// it is ready.
	joinTimeout = 1500 * time.Millisecond
	// limitMilli is the factor of limits in metrics.
	limitMilli = 1000
)

// ObserveLimit records what a response of the incarnation states about the limit of the replica.
func (listener replicaListener) ObserveLimit(incarnation topology.Incarnation, observed ratelimit.Observation) {
	if change, changed := listener.limits.Observe(incarnation, observed); changed {
		logLimit(incarnation, change, "Replica")
	}
}

// receiveLimits records the limits that another daemon told.
func (daemon *Daemon) receiveLimits(entries []ratelimit.Entry) {
	now := daemon.clock.Now()
	for _, entry := range entries {
		if change, changed := daemon.limits.Merge(entry, now); changed {
			logLimit(entry.Incarnation, change, "Daemon")
		}
	}
}

// limitsToShare returns the limits for the next greeting, or all of them.
func (daemon *Daemon) limitsToShare(all bool) []ratelimit.Entry {
	if all {
		return daemon.limits.All()
	}
	return daemon.limits.Share(limitsPerGreeting, daemon.clock.Now())
}

// knowsLimits reports whether another daemon has told this one the limits of replicas, or none will.
func (daemon *Daemon) knowsLimits() bool {
	return daemon.mesh.Joined() || daemon.clock.Since(daemon.started) >= joinTimeout
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

// updateLimitMetrics sets the metrics of the limits that replicas named, and of what this daemon has and wants of them.
// A replica that is gone has no limit. last lists the replicas of the former call; the current ones are returned.
func (daemon *Daemon) updateLimitMetrics(now time.Time, last []ratelimit.Entry) []ratelimit.Entry {
	for _, entry := range last {
		daemon.meter.Set(meter.ReplicaLimit, meter.Labels{Subject: entry.ID}, 0)
		daemon.meter.Set(meter.ReplicaLimitAge, meter.Labels{Subject: entry.ID}, 0)
	}
	entries := daemon.limits.All()
	for _, entry := range entries {
		labels := meter.Labels{Subject: entry.ID}
		daemon.meter.Set(meter.ReplicaLimit, labels, int64(entry.PerSecond*limitMilli))
		daemon.meter.Set(meter.ReplicaLimitAge, labels, now.Sub(entry.Confirmed).Milliseconds())
	}
	for _, state := range daemon.limiter.States(now) {
		labels := meter.Labels{Subject: state.Replica.ID}
		daemon.meter.Set(meter.LimitTokens, labels, int64(state.Tokens))
		daemon.meter.Set(meter.LimitWaiting, labels, int64(state.Waiting))
		daemon.meter.Set(meter.LimitSent, labels, int64(state.Sent))
		daemon.meter.Set(meter.LimitRefused, labels, int64(state.Refused))
	}
	return entries
}
