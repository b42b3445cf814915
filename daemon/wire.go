package daemon

import (
	"github.com/bronzestall/bronzestall/bookstore"
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/keepwarm"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/observer"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/request"
)

// wireKnowledge makes what the daemon knows of notes, VMs, upstreams and peers.
func (daemon *Daemon) wireKnowledge() {
	daemon.members = &members{
		settings: daemon.settings,
		list:     daemon.platform,
		fleet:    daemon.fleet,
		clock:    daemon.clock,
	}
	daemon.follower = release.NewFollower(daemon.platform, daemon.platform, daemon.clock, daemon.outside.random(followSeed), release.FollowerSettings{
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
		Client:        daemon.outside.PeerClient,
		UseTLS:        daemon.credentials != nil,
		Members:       peer.MembersFunc(daemon.peerMembers),
		Decider:       daemon.candidates,
		Quarantine:    quarantineCalls{daemon.suspects},
		Notes:         noteSource{daemon.follower},
	}, daemon.clock, daemon.outside.random(peerSeed))
}

func (daemon *Daemon) wireDeciding() {
	daemon.loads = &loadTimes{meter: daemon.meter}
	for place, dataCentre := range daemon.settings.DataCentres {
		store := bookstore.New(daemon.platform, dataCentre.Name)
		made := &candidate{
			dataCentre: dataCentre.Name,
			clock:      daemon.clock,
			transfers:  daemon.transfersOf(place),
			warmth: &warmth{
				clock: daemon.clock,
				state: daemon.catalogue,
				store: store,
				loads: daemon.loads,
				settings: bookstore.Settings{
					Saver: daemon.process,
					Costs: keepwarm.Costs{ColdStart: daemon.settings.KeepWarm.ColdStartWeight, IdleHour: daemon.settings.KeepWarm.IdleHourWeight},
				},
			},
		}
		made.warmth.decides = func() bool {
			_, owned := made.decides()
			return owned
		}
		daemon.candidates.byDataCentre[dataCentre.Name] = made
	}
}

func (daemon *Daemon) wireRequests() {
	daemon.arrivals = newArrivals(nil, daemon.meter)
	successor := daemon.settings.Lease.Term + daemon.settings.Lease.RenewEvery
	live := func() int { return len(daemon.node.Live()) }
	daemon.demand = newDemand(daemon.newAsker(), daemon.arrivals, daemon.clock, successor, live)
	daemon.claims = claim.New(claim.Settings{
		Incarnation: claimant{daemon.settings.Name, uint64(daemon.started.UnixNano())}.String(),
		Ended:       daemon.hasEnded,
		Sweeps:      daemon.sweepsClaims,
		Timeout:     daemon.settings.Platform.Timeout,
	}, daemon.platform, daemon.clock)
	directory := &directory{dataCentre: daemon.settings.DataCentre, fleet: daemon.fleet, state: daemon.catalogue}
	daemon.backlogs = newBacklogs()
	daemon.transfers = newTransfers(daemon.newAsker(), daemon.clock, daemon.transferShare)
	daemon.dispatcher = dispatch.New(daemon.dispatchSettings(), dispatch.Deps{
		Fleet:     directory,
		Engines:   requestEngines{daemon.pool},
		Demand:    daemon.demand,
		Services:  daemon.pool,
		Claims:    daemon.claims,
		Transfers: daemon.transfers,
		Peers:     daemon.backlogs,
		Suspects:  daemon.suspects,
	}, daemon.clock, daemon.outside.random(dispatchSeed))
	daemon.suspects.node = daemon.node
	daemon.suspects.book = daemon.dispatcher.Quarantine()
	daemon.arrivals.runner = daemon.dispatcher
	daemon.health = &health{known: func() bool {
		_, _, ok := daemon.catalogue()
		return ok
	}}
}

// sent measures the time of a request before it is sent, and counts retries.
func (daemon *Daemon) sent(req *request.Request, attempt int) {
	labels := meter.Labels{Tenant: req.Tenant, Class: req.Class}
	if attempt > 1 {
		daemon.meter.Count(meter.Retried, labels, 1)
		return
	}
	daemon.meter.Observe(meter.QueueTime, labels, daemon.clock.Since(req.Arrived))
}

// newAsker returns a search for deciders for the use of one duty.
func (daemon *Daemon) newAsker() *deciderAsker {
	return &deciderAsker{
		name:        daemon.settings.Name,
		dataCentre:  daemon.settings.DataCentre,
		candidates:  daemon.candidates,
		node:        daemon.node,
		address:     daemon.peerAddress,
		live:        daemon.liveIn,
		dataCentres: daemon.dataCentreNames(),
		named:       map[string]string{},
	}
}

// transferShare returns the part of the adapter transfers in flight that this daemon uses without a decider.
func (daemon *Daemon) transferShare() int {
	return max(1, daemon.settings.WeightStore.AdaptersInFlight/daemon.daemonCount())
}

// transfersOf returns the part of the adapter transfers in flight that belongs to the data centre in
// the given place of the list. The first ones get the remainder.
func (daemon *Daemon) transfersOf(place int) int {
	total, parts := daemon.settings.WeightStore.AdaptersInFlight, len(daemon.settings.DataCentres)
	part := total / parts
	if place < total%parts {
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
