package front

import (
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// leavingTold is the number of leaving replicas in one greeting.
	leavingTold = 64
	// noticeLife is how long it is remembered that a replica leaves whose row is gone.
	noticeLife = time.Minute
)

// notices takes what replicas say of themselves to the daemon.
type notices struct{ *Daemon }

// Hear takes what an answer of the run says.
func (notices notices) Hear(run topology.Incarnation, said notice.Notice) {
	now := notices.clock.Now()
	if said.Leaving {
		notices.noteLeaving(run, "Replica")
	}
	if said.Rest > 0 && notices.notices.Rest(run, now.Add(said.Rest), now) {
		event.ReplicaRests.Log("Replica", run.ID, "Born", run.Started, "For", said.Rest)
	}
	if said.Odd != "" && notices.notices.Odd(run) {
		event.NoticeSkipped.Log("Replica", run.ID, "Born", run.Started, "Header", said.Odd, "LongestRest", notice.LongestRest)
	}
}

// Takes reports whether the run may be sent a request now.
func (notices notices) Takes(run topology.Incarnation) bool {
	return notices.notices.Takes(run, notices.clock.Now())
}

// hearLeaving takes what another daemon tells of replicas that leave. Runs that are not in the table are skipped, so that
// daemons do not remind each other for ever of one that is gone.
func (daemon *Daemon) hearLeaving(runs []topology.Incarnation) {
	for _, run := range runs {
		if daemon.roster.Has(run) {
			daemon.noteLeaving(run, "Daemon")
		}
	}
}

// noteLeaving ends new work at a replica that leaves, whatever its row says.
func (daemon *Daemon) noteLeaving(run topology.Incarnation, source string) {
	if !daemon.notices.Leave(run, daemon.clock.Now()) {
		return
	}
	event.ReplicaLeaves.Log("Replica", run.ID, "Born", run.Started, "Source", source)
	daemon.applySoon()
}

// usable returns the replicas of the entries that take new requests, also by their own word.
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

// leaving returns the replicas that the next greeting tells of.
func (daemon *Daemon) leaving() []topology.Incarnation {
	return daemon.notices.Latest(leavingTold)
}

// measureReplicas sets the metrics of what replicas say and of what is held against requests.
func (daemon *Daemon) measureReplicas(now time.Time) {
	leaving, resting := daemon.notices.Counts(now)
	daemon.meter.Set(meter.ReplicasLeaving, meter.Labels{}, int64(leaving))
	daemon.meter.Set(meter.ReplicasResting, meter.Labels{}, int64(resting))
	daemon.meter.Set(meter.RequestsQuarantined, meter.Labels{}, int64(daemon.suspects.CountRefused(now)))
}
