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
		Every:   daemon.settings.Platform.FollowEvery,
		Daemons: daemon.daemonCount,
	})
	daemon.observer = observer.New(observer.Settings{}, daemon.pool, daemon.fleet, daemon.clock)
	daemon.seats = &seats{byDataCentre: map[string]*seat{}, dataCentreOf: daemon.dataCentreOf}
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
		Members:       peer.MembersFunc(daemon.peerMembers),
		Decider:       daemon.seats,
		Quarantine:    quarantineCalls{daemon.suspects},
		Notes:         noteSource{daemon.follower},
	}, daemon.clock, daemon.outside.random(peerSeed))
}

func (daemon *Daemon) wireDeciding() {
	daemon.loads = &loadTimes{meter: daemon.meter}
	for _, dataCentre := range daemon.settings.DataCentres {
		store := bookstore.New(daemon.platform, dataCentre.Name)
		made := &seat{
			dataCentre: dataCentre.Name,
			clock:      daemon.clock,
			warmth: &warmth{
				clock: daemon.clock,
				state: daemon.catalogue,
				store: store,
				loads: daemon.loads,
				settings: bookstore.Settings{
					Saver:   daemon.process,
					Weights: keepwarm.Weights{ColdStart: daemon.settings.KeepWarm.ColdStartWeight, IdleHour: daemon.settings.KeepWarm.IdleHourWeight},
				},
			},
		}
		made.warmth.decides = func() bool {
			_, owned := made.decides()
			return owned
		}
		daemon.seats.byDataCentre[dataCentre.Name] = made
	}
}

func (daemon *Daemon) wireRequests() {
	daemon.arrivals = newArrivals(nil, daemon.meter)
	asker := &deciderAsker{
		name:        daemon.settings.Name,
		dataCentre:  daemon.settings.DataCentre,
		seats:       daemon.seats,
		node:        daemon.node,
		address:     daemon.peerAddress,
		live:        daemon.liveIn,
		dataCentres: daemon.dataCentreNames(),
		named:       map[string]string{},
	}
	daemon.demand = newDemand(asker, daemon.arrivals, daemon.clock, daemon.settings.Lease.Term+daemon.settings.Lease.RenewEvery)
	daemon.claims = claim.New(claim.Settings{Incarnation: daemon.process, Timeout: daemon.settings.Platform.Timeout}, daemon.platform, daemon.clock)
	directory := &directory{dataCentre: daemon.settings.DataCentre, fleet: daemon.fleet, state: daemon.catalogue}
	daemon.backlogs = newBacklogs()
	daemon.dispatcher = dispatch.New(daemon.dispatchSettings(), dispatch.Deps{
		Fleet:     directory,
		Engines:   requestEngines{daemon.pool},
		Demand:    daemon.demand,
		Services:  daemon.pool,
		Claims:    daemon.claims,
		Transfers: &transfers{share: daemon.transferShare},
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

// transferShare returns the part of the adapter transfers in flight that is this daemon's. Beyond
// one daemon for each transfer the parts add up to more than the limit, which makes transfers slower.
func (daemon *Daemon) transferShare() int {
	return max(1, daemon.settings.WeightStore.AdaptersInFlight/daemon.daemonCount())
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
