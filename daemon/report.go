package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/status"
	"github.com/bronzestall/bronzestall/upstream"
)

// report returns the status report for operators.
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
			Build:       protocol.Build(),
			Protocol:    int64(protocol.Current),
		},
		InForce:          daemon.reportInForce(),
		Decider:          daemon.reportDecider(now),
		Platform:         daemon.reportPlatform(now),
		InvariantsBroken: invariant.Violations(),
	}
	daemon.reportPeers(&report, now)
	daemon.reportUpstreams(&report, now)
	for _, count := range daemon.meter.CountsByKind(meter.Refused) {
		report.Refusals = append(report.Refusals, status.Refusal{Kind: count.Kind, Count: count.Count})
	}
	return report
}

func (daemon *Daemon) reportInForce() status.InForce {
	current, number, ok := daemon.catalogue()
	size := current.Size()
	return status.InForce{Known: ok, Number: number, Models: size.Models, Adapters: size.Adapters, Services: size.Services}
}

// reportDecider returns the decider of the own data centre and the data centres that this daemon decides for.
func (daemon *Daemon) reportDecider(now time.Time) status.Decider {
	candidate := daemon.candidates.byDataCentre[daemon.settings.DataCentre]
	report := status.Decider{Name: candidate.leader(), LostFor: daemon.demand.lostFor(now)}
	for _, dataCentre := range daemon.dataCentreNames() {
		if _, owned := daemon.candidates.byDataCentre[dataCentre].activeDecider(); owned {
			report.For = append(report.For, dataCentre)
		}
	}
	if activeDecider, owned := candidate.activeDecider(); owned {
		report.Mine = true
		report.Fence = activeDecider.Status().Fence
	}
	return report
}

// reportPlatform returns which parts of the platform cannot be read. Without any successful read of the tables,
// the failure counts from the start of the daemon.
func (daemon *Daemon) reportPlatform(now time.Time) status.Platform {
	report := status.Platform{ListAway: daemon.members.isUnavailable()}
	if followerStatus := daemon.follower.Status(); followerStatus.Failures > 0 {
		if followerStatus.Confirmed.IsZero() {
			followerStatus.Confirmed = daemon.started
		}
		report.TablesAwayFor = now.Sub(followerStatus.Confirmed)
	}
	return report
}

// reportPeers adds the other daemons to the report, and those with an older number in force.
func (daemon *Daemon) reportPeers(report *status.Report, now time.Time) {
	for _, other := range daemon.node.Records() {
		record := other.Record
		report.Peers = append(report.Peers, status.Peer{
			Name:       record.Name,
			DataCentre: record.DataCentre,
			Build:      record.Build,
			Protocol:   int64(daemon.node.Protocol(record.Name)),
			InForce:    record.InForce,
			Leaving:    record.Leaving,
			Running:    record.Running,
			Waiting:    record.Waiting,
			HeardAgo:   now.Sub(other.LastSeen),
		})
		if record.InForce < report.InForce.Number {
			report.InForce.Behind = append(report.InForce.Behind, record.Name)
		}
	}
}

// reportUpstreams adds all upstreams, and their replicas ordered by model, version and upstream.
func (daemon *Daemon) reportUpstreams(report *status.Report, now time.Time) {
	inForce, _, _ := daemon.catalogue()
	for _, observed := range daemon.fleet.Entries() {
		report.Upstreams = append(report.Upstreams, reportUpstream(observed, now))
		for _, replica := range observed.State.Replicas {
			report.Replicas = append(report.Replicas, reportReplica(observed, replica, inForce, now))
		}
	}
	slices.SortFunc(report.Replicas, func(a, b status.Replica) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Upstream, b.Upstream))
	})
}

func reportUpstream(observed *fleet.Entry, now time.Time) status.Upstream {
	result := status.Upstream{
		Name:       observed.Member.Name,
		DataCentre: observed.Member.DataCentre,
		Kind:       string(observed.Member.Kind),
		Release:    observed.State.Release,
		Leaving:    observed.Leaving(),
		Capacity:   observed.State.Capacity,
		Heard:      observed.State.BootID != "",
	}
	for _, replica := range observed.State.Replicas {
		result.Used += replica.Memory
	}
	if result.Heard {
		result.HeardAgo = now.Sub(observed.AsOf)
	}
	return result
}

func reportReplica(observed *fleet.Entry, replica upstream.Replica, inForce catalogue.Catalogue, now time.Time) status.Replica {
	return status.Replica{
		Model:      replica.Model,
		Version:    replica.Version,
		Upstream:   observed.Member.Name,
		DataCentre: observed.Member.DataCentre,
		Phase:      string(replica.Phase),
		Use:        replicaUse(replica, inForce),
		Running:    replica.Running,
		Waiting:    replica.Waiting,
		HeardAgo:   now.Sub(observed.AsOf),
	}
}

// replicaUse returns whether the replica is busy or idle, or that its model or version is not in force.
func replicaUse(replica upstream.Replica, inForce catalogue.Catalogue) string {
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
