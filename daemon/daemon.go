package daemon

import (
	"context"
	crand "crypto/rand"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/bookstore"
	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/gateway"
	"github.com/bronzestall/bronzestall/keepwarm"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/observer"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/settings"
)

// Daemon is one daemon with all its duties. Use New.
type Daemon struct {
	settings settings.Settings
	outside  Outside
	clock    clock.WithTicker
	// process differs for every start of a process.
	process    string
	started    time.Time
	meter      *meter.Meter
	fleet      *fleet.Fleet
	pool       *pool
	platform   *platform.Client
	members    *members
	follower   *release.Follower
	node       *peer.Node
	observer   *observer.Observer
	seats      *seats
	demand     *demand
	arrivals   *arrivals
	dispatcher *dispatch.Dispatcher
	claims     *claim.Store
	suspects   *suspects
	backlogs   *backlogs
	health     *health

	callers   *server
	operators *server
	peers     *server
}

// The duties with random numbers of their own.
const (
	followSeed uint64 = iota + 1
	peerSeed
	dispatchSeed
)

// New opens the addresses of the daemon and wires its duties. It fails if an address cannot be opened.
func New(settings settings.Settings, outside Outside) (*Daemon, error) {
	outside = outside.withDefaults()
	clock := outside.Clock
	daemon := &Daemon{
		settings: settings,
		outside:  outside,
		clock:    clock,
		process:  crand.Text(),
		started:  clock.Now(),
		meter:    meter.New(),
		fleet:    fleet.New(clock),
		platform: platform.NewClient(platform.ClientSettings{
			Address: settings.Platform.Address,
			Timeout: settings.Platform.Timeout,
			Dial:    outside.Dial,
		}, clock),
	}
	daemon.pool = newPool(daemon.fleet, outside.Dial, clock)
	daemon.wireKnowledge()
	daemon.wireDeciding()
	daemon.wireRequests()
	return daemon, daemon.open()
}

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
	for _, dataCentre := range daemon.settings.DataCentres {
		store := bookstore.New(daemon.platform, dataCentre.Name)
		made := &seat{
			dataCentre: dataCentre.Name,
			clock:      daemon.clock,
			warmth: &warmth{
				clock: daemon.clock,
				state: daemon.catalogue,
				store: store,
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

// open listens on the three addresses.
func (daemon *Daemon) open() error {
	front, err := gateway.New(daemon.settings, gateway.Parts{
		Names:  names{daemon.catalogue},
		Runner: daemon.arrivals,
		Health: daemon.health,
		Meter:  daemon.meter,
		Clock:  daemon.clock,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if daemon.callers, err = daemon.listen(daemon.settings.CallerAddress, front); err != nil {
		return err
	}
	if daemon.operators, err = daemon.listen(daemon.settings.OperatorAddress, daemon.operatorHandler(front)); err != nil {
		return err
	}
	daemon.peers, err = daemon.listen(daemon.settings.PeerAddress, daemon.node.Handler())
	if err != nil {
		return err
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	daemon.peers.http.Protocols = protocols
	return nil
}

// catalogue returns the catalogue in force and its number, or false while neither is known.
func (daemon *Daemon) catalogue() (catalogue.Catalogue, uint64, bool) {
	state, ok := daemon.follower.InForce()
	return state.Catalogue, state.Number, ok
}

// Run opens the daemon, serves until ctx ends, and then stops it as planned.
func Run(ctx context.Context, settings settings.Settings) error {
	settings = settings.WithDefaults()
	quietLibrary(settings.Drain.Notice + settings.Drain.Limit)
	daemon, err := New(settings, Outside{})
	if err != nil {
		return err
	}
	daemon.Serve(ctx)
	return nil
}

// Serve starts the duties, waits for the end of ctx, stops as planned and closes all connections.
func (daemon *Daemon) Serve(ctx context.Context) {
	work, endWork := context.WithCancel(context.WithoutCancel(ctx))
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		runDuties(work, daemon.clock, daemon.duties())
	}()
	event.DaemonStarted.Log("Name", daemon.settings.Name, "DataCentre", daemon.settings.DataCentre, "Process", daemon.process)
	<-ctx.Done()
	drained := daemon.drain()
	endWork()
	<-ended
	daemon.close()
	event.DaemonStopped.Log("Finished", drained.Finished, "Cut", drained.Cut)
}
