package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/status"
	"github.com/bronzestall/bronzestall/upstream"
)

// report answers an operator's question at a glance.
func (daemon *Daemon) report() status.Report {
	now := daemon.clock.Now()
	ready, reason := daemon.health.Ready()
	report := status.Report{
		At: now,
		Daemon: status.Daemon{
			Name:        daemon.settings.Name,
			DataCentre:  daemon.settings.DataCentre,
			Incarnation: daemon.node.Self().Incarnation,
			Ready:       ready,
			Reason:      reason,
			Running:     daemon.arrivals.running(),
		},
		InForce:          daemon.reportInForce(),
		Decider:          daemon.reportDecider(now),
		Platform:         daemon.reportPlatform(now),
		InvariantsBroken: invariant.Broken(),
	}
	daemon.reportPeers(&report, now)
	daemon.reportUpstreams(&report, now)
	for _, count := range daemon.meter.CountsByKind(meter.Refused) {
		report.Refusals = append(report.Refusals, status.Refusal{Kind: count.Kind, Count: count.Count})
	}
	return report
}

func (daemon *Daemon) reportInForce() status.InForce {
	known, number, ok := daemon.catalogue()
	size := known.Size()
	return status.InForce{Known: ok, Number: number, Models: size.Models, Adapters: size.Adapters, Services: size.Services}
}

func (daemon *Daemon) reportDecider(now time.Time) status.Decider {
	candidate := daemon.candidates.byDataCentre[daemon.settings.DataCentre]
	report := status.Decider{Name: candidate.leader(), LostFor: daemon.demand.lostFor(now)}
	for _, dataCentre := range daemon.dataCentreNames() {
		if _, owned := daemon.candidates.byDataCentre[dataCentre].decides(); owned {
			report.For = append(report.For, dataCentre)
		}
	}
	if decides, owned := candidate.decides(); owned {
		report.Mine = true
		report.Fence = decides.Status().Fence
	}
	return report
}

func (daemon *Daemon) reportPlatform(now time.Time) status.Platform {
	report := status.Platform{ListAway: daemon.members.isAway()}
	if following := daemon.follower.Status(); following.Failures > 0 {
		if following.Confirmed.IsZero() {
			following.Confirmed = daemon.started
		}
		report.TablesAwayFor = now.Sub(following.Confirmed)
	}
	return report
}

func (daemon *Daemon) reportPeers(report *status.Report, now time.Time) {
	for _, known := range daemon.node.Records() {
		record := known.Record
		report.Peers = append(report.Peers, status.Peer{
			Name:       record.Name,
			DataCentre: record.DataCentre,
			InForce:    record.InForce,
			Leaving:    record.Leaving,
			Running:    record.Running,
			Waiting:    record.Waiting,
			HeardAgo:   now.Sub(known.LastSeen),
		})
		if record.InForce < report.InForce.Number {
			report.InForce.Behind = append(report.InForce.Behind, record.Name)
		}
	}
}

func (daemon *Daemon) reportUpstreams(report *status.Report, now time.Time) {
	inForce, _, _ := daemon.catalogue()
	for _, known := range daemon.fleet.Known() {
		report.Upstreams = append(report.Upstreams, reportUpstream(known, now))
		for _, replica := range known.State.Replicas {
			report.Replicas = append(report.Replicas, reportReplica(known, replica, inForce, now))
		}
	}
	slices.SortFunc(report.Replicas, func(a, b status.Replica) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Upstream, b.Upstream))
	})
}

func reportUpstream(known *fleet.Known, now time.Time) status.Upstream {
	made := status.Upstream{
		Name:       known.Member.Name,
		DataCentre: known.Member.DataCentre,
		Kind:       string(known.Member.Kind),
		Leaving:    known.Leaving(),
		Capacity:   known.State.Capacity,
		Heard:      known.State.BootID != "",
	}
	for _, replica := range known.State.Replicas {
		made.Used += replica.Memory
	}
	if made.Heard {
		made.HeardAgo = now.Sub(known.AsOf)
	}
	return made
}

func reportReplica(known *fleet.Known, replica upstream.Replica, inForce catalogue.Catalogue, now time.Time) status.Replica {
	return status.Replica{
		Model:      replica.Model,
		Version:    replica.Version,
		Upstream:   known.Member.Name,
		DataCentre: known.Member.DataCentre,
		Phase:      string(replica.Phase),
		Use:        use(replica, inForce),
		Running:    replica.Running,
		Waiting:    replica.Waiting,
		HeardAgo:   now.Sub(known.AsOf),
	}
}

// use tells why a replica is there.
func use(replica upstream.Replica, inForce catalogue.Catalogue) string {
	model, ok := inForce.Model(replica.Model)
	switch {
	case !ok:
		return "not in force"
	case model.Version != replica.Version:
		return "old version"
	case replica.Running+replica.Waiting > 0:
		return "busy"
	default:
		return "idle"
	}
}
