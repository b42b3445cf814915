package daemon

import (
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/keepwarm"
	"github.com/bronzestall/bronzestall/learner"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/observer"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/request"
)

// wireStateSources creates the parts that collect state: VM list, release notes, engine states and the
// records of peers.
func (daemon *Daemon) wireStateSources() {
	daemon.members = &members{
		settings: daemon.settings,
		list:     daemon.platform,
		fleet:    daemon.fleet,
		clock:    daemon.clock,
	}
	daemon.follower = release.NewFollower(daemon.platform, daemon.platform, daemon.clock, daemon.deps.random(followerStream), release.FollowerSettings{
		MinInterval: daemon.settings.Platform.FollowEvery,
		Daemons:     daemon.daemonCount,
	})
	daemon.observer = observer.New(observer.Settings{}, daemon.pool, daemon.fleet, daemon.clock)
	daemon.candidates = &candidates{byDataCentre: map[string]*candidate{}, dataCentreOf: daemon.dataCentreOf}
	daemon.suspects = &suspects{
		clock:   daemon.clock,
		arbiter: quarantine.NewArbiter(),
		name:    daemon.settings.Name,
		address: daemon.peerAddress,
	}
	daemon.node = peer.NewNode(peer.Settings{
		Name:          daemon.settings.Name,
		DataCentre:    daemon.settings.DataCentre,
		Incarnation:   uint64(daemon.started.UnixNano()),
		PeerAddress:   daemon.settings.PeerAddress,
		CallerAddress: daemon.settings.CallerAddress,
		Build:         protocol.Build(),
		Client:        daemon.deps.PeerClient,
		UseTLS:        daemon.credentials != nil,
		Members:       peer.MembersFunc(daemon.peerMembers),
		Decider:       daemon.candidates,
		Quarantine:    quarantineHandler{daemon.suspects},
		Notes:         noteSource{daemon.follower},
	}, daemon.clock, daemon.deps.random(peerStream))
}

// wireCandidates creates the candidacy and the keep-warm policy of each data centre.
func (daemon *Daemon) wireCandidates() {
	daemon.loads = &loadTimes{meter: daemon.meter}
	for index, dataCentre := range daemon.settings.DataCentres {
		store := learner.NewStore(daemon.platform, dataCentre.Name)
		created := &candidate{
			dataCentre:    dataCentre.Name,
			clock:         daemon.clock,
			transferQuota: daemon.transferQuotaOf(index),
			keepWarm: &keepWarm{
				clock: daemon.clock,
				state: daemon.catalogue,
				store: store,
				loads: daemon.loads,
				settings: learner.Settings{
					Saver: daemon.process,
					Costs: keepwarm.Costs{ColdStart: daemon.settings.KeepWarm.ColdStartWeight, IdleHour: daemon.settings.KeepWarm.IdleHourWeight},
				},
			},
		}
		created.keepWarm.decides = func() bool {
			_, owned := created.activeDecider()
			return owned
		}
		daemon.candidates.byDataCentre[dataCentre.Name] = created
	}
}

// wireRequests creates the path of requests: arrivals, demand reports, claims, transfers and the dispatcher.
func (daemon *Daemon) wireRequests() {
	daemon.arrivals = newArrivals(nil, daemon.meter)
	failoverTime := daemon.settings.Lease.Term + daemon.settings.Lease.RenewEvery
	liveDaemons := func() int { return len(daemon.node.Live()) }
	daemon.demand = newDemand(daemon.newDeciderClient(), daemon.arrivals, daemon.clock, failoverTime, liveDaemons)
	daemon.claims = claim.New(claim.Settings{
		Incarnation: claimant{daemon.settings.Name, uint64(daemon.started.UnixNano())}.String(),
		Ended:       daemon.hasEnded,
		ShouldSweep: daemon.sweepsClaims,
		Timeout:     daemon.settings.Platform.Timeout,
	}, daemon.platform, daemon.clock)
	directory := &directory{dataCentre: daemon.settings.DataCentre, fleet: daemon.fleet, state: daemon.catalogue}
	daemon.backlogs = newBacklogs()
	daemon.transfers = newTransfers(daemon.newDeciderClient(), daemon.clock, daemon.fallbackTransferLimit)
	daemon.dispatcher = dispatch.New(daemon.dispatchSettings(), dispatch.Deps{
		Fleet:     directory,
		Engines:   requestEngines{daemon.pool},
		Demand:    daemon.demand,
		Services:  daemon.pool,
		Claims:    daemon.claims,
		Transfers: daemon.transfers,
		Peers:     daemon.backlogs,
		Suspects:  daemon.suspects,
		OnAttempt: daemon.recordSent,
	}, daemon.clock, daemon.deps.random(dispatchStream))
	daemon.suspects.node = daemon.node
	daemon.suspects.registry = daemon.dispatcher.Quarantine()
	daemon.arrivals.runner = daemon.dispatcher
	daemon.health = &health{catalogueKnown: func() bool {
		_, _, ok := daemon.catalogue()
		return ok
	}}
}

// recordSent measures the queue time of a request at its first attempt, and counts each further attempt as
// a retry.
func (daemon *Daemon) recordSent(req *request.Request, attempt int) {
	labels := meter.Labels{Tenant: req.Tenant, Class: req.Class}
	if attempt > 1 {
		daemon.meter.Count(meter.Retried, labels, 1)
		return
	}
	daemon.meter.Observe(meter.QueueTime, labels, daemon.clock.Since(req.Arrived))
}

// newDeciderClient returns a client of the decider for the use of one task.
func (daemon *Daemon) newDeciderClient() *deciderClient {
	return &deciderClient{
		name:         daemon.settings.Name,
		dataCentre:   daemon.settings.DataCentre,
		candidates:   daemon.candidates,
		node:         daemon.node,
		address:      daemon.peerAddress,
		live:         daemon.liveIn,
		dataCentres:  daemon.dataCentreNames(),
		knownDecider: map[string]string{},
	}
}

// fallbackTransferLimit returns the number of adapter transfers that this daemon may have in flight without
// a decider: its equal part among all known daemons, at least one.
func (daemon *Daemon) fallbackTransferLimit() int {
	return max(1, daemon.settings.WeightStore.AdaptersInFlight/daemon.daemonCount())
}

// transferQuotaOf returns the number of adapter transfers in flight of the data centre with the index in
// the settings. The total is divided equally; the first data centres get the remainder, and each gets at
// least one.
func (daemon *Daemon) transferQuotaOf(index int) int {
	total, parts := daemon.settings.WeightStore.AdaptersInFlight, len(daemon.settings.DataCentres)
	part := total / parts
	if index < total%parts {
		part++
	}
	return max(1, part)
}

func (daemon *Daemon) dispatchSettings() dispatch.Settings {
	shares := map[string]int{}
	for _, tenant := range daemon.settings.Tenants {
		shares[tenant.Name] = tenant.Share
	}
	return dispatch.Settings{
		PerModel: daemon.settings.Queue.PerModel,
		Total:    daemon.settings.Queue.Total,
		Shares:   shares,
	}
}
