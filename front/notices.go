package front

import (
	"time"

	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// leavingPerGreeting is the largest number of leaving replicas in one greeting.
	leavingPerGreeting = 64
	// noticeRetention is how long the notice of a leaving replica is kept after its row was deleted.
	noticeRetention = time.Minute
)

// replicaListener receives the notices that replicas send in their responses.
type replicaListener struct{ *Daemon }

// HandleNotice processes the notice in a response of the incarnation.
func (listener replicaListener) HandleNotice(incarnation topology.Incarnation, received notice.Notice) {
	now := listener.clock.Now()
	if received.Leaving {
		listener.markLeaving(incarnation, "Replica")
	}
	if received.Backoff > 0 && listener.notices.SetBackoff(incarnation, now.Add(received.Backoff), now) {
		event.ReplicaRests.Log("Replica", incarnation.ID, "Born", incarnation.Started, "For", received.Backoff)
	}
	if received.Unknown != "" && listener.notices.MarkUnknown(received.Unknown) {
		event.NoticeUnknown.Log("Replica", incarnation.ID, "Born", incarnation.Started, "Header", received.Unknown)
	}
	if received.Malformed != "" {
		listener.meter.Count(meter.NoticesMalformed, meter.Labels{Kind: received.Malformed}, 1)
	}
	if received.Malformed != "" && listener.notices.MarkMalformed(incarnation, received.Malformed) {
		event.NoticeSkipped.Log("Replica", incarnation.ID, "Born", incarnation.Started, "Header", received.Malformed, "LongestRest", notice.MaxBackoff)
	}
}

// ObserveBrittle records what a response of the incarnation states about the rejections that the replica bears.
func (listener replicaListener) ObserveBrittle(incarnation topology.Incarnation, rejections float64, named, conclusive bool) {
	switch {
	case named:
		if listener.brittle.Observe(incarnation, rejections, listener.clock.Now()) {
			event.ReplicaBrittle.Log("Replica", incarnation.ID, "Born", incarnation.Started, "Rejections", rejections)
		}
	case conclusive && listener.brittle.End(incarnation):
		event.ReplicaSturdy.Log("Replica", incarnation.ID, "Born", incarnation.Started)
	}
}

// Accepts reports whether a request may be sent to the incarnation now. One that was chosen before the replica named a
// limit may not, since it was not counted.
func (listener replicaListener) Accepts(incarnation topology.Incarnation, counted bool) bool {
	_, limited := listener.limits.Limit(incarnation)
	return listener.notices.Accepts(incarnation, listener.clock.Now()) && (counted || !limited)
}

// receiveLeaving processes the leaving replicas in a greeting of another daemon. Incarnations that are not in
// the replica table are skipped; otherwise daemons would keep announcing a deleted replica to each other.
func (daemon *Daemon) receiveLeaving(incarnations []topology.Incarnation) {
	for _, incarnation := range incarnations {
		if daemon.roster.Has(incarnation) {
			daemon.markLeaving(incarnation, "Daemon")
		}
	}
}

// markLeaving sends no new requests to a leaving replica, whatever its row states.
func (daemon *Daemon) markLeaving(incarnation topology.Incarnation, source string) {
	if !daemon.notices.MarkLeaving(incarnation, daemon.clock.Now()) {
		return
	}
	event.ReplicaLeaves.Log("Replica", incarnation.ID, "Born", incarnation.Started, "Source", source)
	daemon.requestApply()
}

// usable returns the replicas of the entries that accept new requests by their rows and by their own notices.
func (daemon *Daemon) usable(entries []roster.Entry) []topology.Replica {
	usable := make([]topology.Replica, 0, len(entries))
	for index := range entries {
		replica := &entries[index].Replica
		if !replica.Draining && !daemon.notices.Leaving(replica.Incarnation) {
			usable = append(usable, *replica)
		}
	}
	return usable
}

// leavingToShare returns the leaving replicas for the next greeting.
func (daemon *Daemon) leavingToShare() []topology.Incarnation {
	return daemon.notices.LatestLeaving(leavingPerGreeting)
}

// updateMetrics sets the metrics of leaving replicas, replicas in backoff, quarantined requests, the era of the store and missing
// copies.
func (daemon *Daemon) updateMetrics(now time.Time) {
	leaving, inBackoff := daemon.notices.Counts(now)
	daemon.meter.Set(meter.ReplicasLeaving, meter.Labels{}, int64(leaving))
	daemon.meter.Set(meter.ReplicasResting, meter.Labels{}, int64(inBackoff))
	daemon.meter.Set(meter.RequestsQuarantined, meter.Labels{}, int64(daemon.suspects.CountRefused(now)))
	daemon.meter.Set(meter.SuspectsEvicted, meter.Labels{}, int64(daemon.suspects.Evicted()))
	daemon.meter.Set(meter.OriginsHeld, meter.Labels{}, int64(daemon.origins.Held()))
	daemon.meter.Set(meter.ResponseBytesHeld, meter.Labels{}, daemon.held.Held())
	daemon.meter.Set(meter.ResponsesEndedForRoom, meter.Labels{}, daemon.held.Ended(bytebudget.Response))
	daemon.meter.Set(meter.BodiesEndedForRoom, meter.Labels{}, daemon.held.Ended(bytebudget.Body))
	daemon.updateConnections()
	daemon.meter.Set(meter.OriginsEvicted, meter.Labels{}, int64(daemon.origins.Evicted()))
	daemon.releaseMeter.update(daemon.meter, daemon.rollouts.Accepting())
	daemon.meter.Set(meter.PathsLost, meter.Labels{}, int64(daemon.paths.LostCount()))
	daemon.meter.Set(meter.StoreEra, meter.Labels{}, int64(daemon.eras.Era()))
	for cause, count := range daemon.scheduler.Shortages() {
		daemon.meter.Set(meter.CopiesMissing, meter.Labels{Kind: string(cause)}, count)
	}
}
