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

// Daemon is one daemon with all its tasks. Use New.
type Daemon struct {
	settings settings.Settings
	deps     Deps
	clock    clock.WithTicker
	// process is a random identifier of this process.
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

// Streams of random numbers, one for each user of them.
const (
	followerStream uint64 = iota + 1
	peerStream
	dispatchStream
)

// New opens the listeners of the daemon and connects its parts; Serve starts the tasks. It fails if the
// credentials cannot be read or an address cannot be opened.
func New(settings settings.Settings, deps Deps) (*Daemon, error) {
	deps = deps.withDefaults()
	clock := deps.Clock
	daemon := &Daemon{
		settings: settings,
		deps:     deps,
		clock:    clock,
		process:  crand.Text(),
		started:  clock.Now(),
		meter:    meter.New(),
		fleet:    fleet.New(clock),
		platform: datastore.NewClient(datastore.ClientSettings{
			Address: settings.Platform.Address,
			Timeout: settings.Platform.Timeout,
			Dial:    deps.Dial,
		}, clock),
	}
	if err := daemon.authenticate(); err != nil {
		return nil, err
	}
	daemon.pool = newPool(daemon.fleet, deps.Dial, clock)
	daemon.wireStateSources()
	daemon.wireCandidates()
	daemon.wireRequests()
	return daemon, daemon.open()
}

// open opens the listeners for callers, operators and peers. If it fails, it closes those that it opened.
func (daemon *Daemon) open() (err error) {
	defer func() {
		if err != nil {
			daemon.closeListeners()
		}
	}()
	callerHandler, err := gateway.New(daemon.settings, gateway.Deps{
		Resolver: resolver{daemon.catalogue},
		Runner:   daemon.arrivals,
		Health:   daemon.health,
		Meter:    daemon.meter,
		Clock:    daemon.clock,
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if daemon.callers, err = daemon.listen(daemon.settings.CallerAddress, callerHandler); err != nil {
		return err
	}
	daemon.callers.track()
	if daemon.operators, err = daemon.listen(daemon.settings.OperatorAddress, daemon.operatorHandler(callerHandler)); err != nil {
		return err
	}
	if daemon.peers, err = daemon.listen(daemon.settings.PeerAddress, daemon.node.Handler()); err != nil {
		return err
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	daemon.peers.http.Protocols = protocols
	daemon.securePeers()
	return nil
}

// catalogue returns the catalogue in force and its number, or false until one has been read.
func (daemon *Daemon) catalogue() (catalogue.Catalogue, uint64, bool) {
	state, ok := daemon.follower.InForce()
	return state.Catalogue, state.Number, ok
}

// Run creates a daemon with the settings, serves until ctx ends, and then shuts down in order. It fails only
// if New does.
func Run(ctx context.Context, settings settings.Settings) error {
	settings = settings.WithDefaults()
	configureGoZero(settings.Drain.Notice + settings.Drain.Limit)
	daemon, err := New(settings, Deps{})
	if err != nil {
		return err
	}
	daemon.Serve(ctx)
	return nil
}

// Serve starts the tasks, waits until ctx ends, drains the running requests within the time of the settings,
// ends the tasks and closes all connections.
func (daemon *Daemon) Serve(ctx context.Context) {
	taskContext, stopTasks := context.WithCancel(context.WithoutCancel(ctx))
	tasksEnded := make(chan struct{})
	go func() {
		defer close(tasksEnded)
		runTasks(taskContext, daemon.clock, daemon.tasks())
	}()
	event.DaemonStarted.Log("Name", daemon.settings.Name, "DataCentre", daemon.settings.DataCentre, "Process", daemon.process)
	<-ctx.Done()
	drained := daemon.drain()
	stopTasks()
	<-tasksEnded
	daemon.close()
	event.DaemonStopped.Log("Finished", drained.Finished, "Cut", drained.Unfinished)
}
