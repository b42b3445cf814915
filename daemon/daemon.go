package daemon

import (
	"context"
	crand "crypto/rand"
	"net/http"
	"time"

	"github.com/gravitational/trace"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/credential"
	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/fleet"
	"github.com/bronzestall/bronzestall/gateway"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/observer"
	"github.com/bronzestall/bronzestall/peer"
	"github.com/bronzestall/bronzestall/release"
	"github.com/bronzestall/bronzestall/settings"
)

// Daemon is one daemon with all its duties. Use New.
type Daemon struct {
	settings settings.Settings
	deps  Deps
	clock    clock.WithTicker
	// process differs for every start of a process.
	process    string
	started    time.Time
	meter      *meter.Meter
	fleet      *fleet.Fleet
	pool       *pool
	platform   *datastore.Client
	members    *members
	follower   *release.Follower
	node       *peer.Node
	observer   *observer.Observer
	candidates *candidates
	demand     *demand
	arrivals   *arrivals
	dispatcher *dispatch.Dispatcher
	claims     *claim.Store
	suspects   *suspects
	backlogs   *backlogs
	transfers  *transfers
	loads      *loadTimes
	// credentials is nil if daemons do not authenticate to each other.
	credentials *credential.Store
	health      *health

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
func New(settings settings.Settings, outside Deps) (*Daemon, error) {
	outside = outside.withDefaults()
	clock := outside.Clock
	daemon := &Daemon{
		settings: settings,
		deps:  outside,
		clock:    clock,
		process:  crand.Text(),
		started:  clock.Now(),
		meter:    meter.New(),
		fleet:    fleet.New(clock),
		platform: datastore.NewClient(datastore.ClientSettings{
			Address: settings.Platform.Address,
			Timeout: settings.Platform.Timeout,
			Dial:    outside.Dial,
		}, clock),
	}
	if err := daemon.authenticate(); err != nil {
		return nil, err
	}
	daemon.pool = newPool(daemon.fleet, outside.Dial, clock)
	daemon.wireKnowledge()
	daemon.wireDeciding()
	daemon.wireRequests()
	return daemon, daemon.open()
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
	daemon.securePeers()
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
	daemon, err := New(settings, Deps{})
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
