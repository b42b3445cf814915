package front

import (
	"context"
	mathrand "math/rand/v2"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/boottime"
	"github.com/bronzestall/bronzestall/connection"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/ingress"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/scheduler"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// memoryShare is the part of the memory limit at which the collector works harder.
	memoryShare = 0.6
	// storeTimeout bounds one call to the platform's store.
	storeTimeout = 900 * time.Millisecond
	// leaseTerm and leaseRenewal are the times of the lease for sending orders.
	leaseTerm    = 2 * time.Second
	leaseRenewal = 500 * time.Millisecond
	// leaseCall bounds one call about the lease.
	leaseCall = 500 * time.Millisecond
	// retryPart is the part of the allowed second sendings that is used, for what daemons do not know of each other.
	retryPart = 0.6
	// fewestDaemons is the number of daemons among which second sendings are divided at least.
	fewestDaemons = 4
)

// Daemon serves the users' platform. Use New.
type Daemon struct {
	settings Settings
	// settingsFile is read again when it changes; empty if there is none.
	settingsFile string
	// droppedLines returns the number of log lines dropped since its last call, or is nil.
	droppedLines func() int64
	clock        clock.WithTicker
	meter        *meter.Meter

	pool      *connection.Pool
	store     *platform.RowStore
	upstream  *platform.Upstream
	roster    *roster.Roster
	directory *directory.Directory
	balancer  *balance.Balancer
	demand    *demand.Counter
	suspects  *quarantine.Tracker
	notices   *notice.Book
	relay     *relay.Relay
	ingress   *ingress.Ingress
	mesh      *mesh.Node
	lease     *lease.Lease
	// rows reaches single rows of the store, through another daemon if it must.
	rows      mesh.RowTables
	scheduler *scheduler.Scheduler

	// stopping states that the daemon fails its readiness check.
	stopping atomic.Bool
	// stopBegun is closed when the daemon begins to stop.
	stopBegun chan struct{}
	// seat is the place of the daemon among those that live.
	seat atomic.Int64
	// reads states that the daemon is one of those of its data centre that read the store's tables.
	reads atomic.Bool
	// poked asks for a report of demand at once.
	poked chan struct{}
	// news tells that other daemons need to know something new.
	news signal
	// replicasChanged asks to apply the replica table.
	replicasChanged chan struct{}

	mutex sync.Mutex
	// rawConfiguration is the row of the configuration in force, for daemons that cannot read it.
	rawConfiguration []byte
	// heard is when the store last answered.
	heard time.Time
	// storeLost states that the store does not answer.
	storeLost bool
	// told is when the store said what a reader told last, and reader the name of that one.
	told   time.Time
	reader string
	// records holds the rows of the table of suspects that this daemon has seen.
	records map[string]record
}

// New returns a daemon that has not started. It reads the settings file again when that changes, unless
// the name is empty. droppedLines returns how many log lines were dropped since its last call; nil means none.
func New(settings Settings, settingsFile string, droppedLines func() int64) *Daemon {
	var clk boottime.Clock
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	daemon := &Daemon{
		settings:        settings,
		settingsFile:    settingsFile,
		droppedLines:    droppedLines,
		clock:           clk,
		meter:           meter.New(),
		pool:            connection.New(connection.Settings{}, clk),
		roster:          roster.New(),
		directory:       directory.New(clk),
		balancer:        balance.New(random),
		demand:          demand.New(),
		suspects:        quarantine.NewTracker(crashLimit),
		notices:         notice.New(),
		records:         map[string]record{},
		poked:           make(chan struct{}, 1),
		stopBegun:       make(chan struct{}),
		replicasChanged: make(chan struct{}, 1),
		heard:           clk.Now(),
	}
	daemon.store = platform.NewRowStore(daemon.pool, settings.StoreAddress, storeTimeout)
	daemon.upstream = platform.NewUpstream(daemon.pool, notices{daemon})
	daemon.relay = relay.New(relay.Settings{
		Zone:       settings.DataCentre,
		RetryShare: settings.RetryShare * retryPart,
		RetryMost:  retryMost(settings, fewestDaemons),
	}, relay.Deps{
		Upstream:  daemon.upstream,
		Directory: daemon.directory,
		Balancer:  daemon.balancer,
		Demand:    daemon.demand,
		Suspects:  daemon.suspects,
		Notices:   daemon.notices,
		Poke:      daemon.poke,
		Seat:      func() int { return int(daemon.seat.Load()) },
		Clock:     clk,
	})
	daemon.ingress = ingress.New(ingress.Deps{
		Relay:  daemon.relay,
		Decode: platform.RequestHeader,
		Meter:  daemon.meter,
		Clock:  clk,
	})
	daemon.wireOrders(mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())))
	return daemon
}

// The bounds of connections to other daemons.
const (
	peerDialTimeout = 400 * time.Millisecond
	peerIdle        = 20 * time.Second
	peerIdleConns   = 8
)

// Run serves until the context ends, and then stops gracefully.
func (daemon *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	runtime.GOMAXPROCS(daemon.settings.Cores)
	debug.SetMemoryLimit(int64(memoryShare * float64(daemon.settings.MemoryLimit)))
	servers, err := daemon.listen()
	if err != nil {
		return err
	}
	event.FrontStarted.Log("Daemon", daemon.settings.Name, "DataCentre", daemon.settings.DataCentre,
		"Client", daemon.settings.ClientAddress, "Peer", daemon.settings.PeerAddress, "Store", daemon.settings.StoreAddress)
	duties, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, duties := errgroup.WithContext(duties)
	servers.serve(group)
	daemon.start(duties, group, reload)
	select {
	case <-ctx.Done():
	case <-duties.Done():
	}
	daemon.stop(servers)
	cancel()
	// The duties end with their context only; what else failed was logged there.
	_ = group.Wait()
	return nil
}

// start begins the duties.
func (daemon *Daemon) start(ctx context.Context, group *errgroup.Group, reload <-chan struct{}) {
	for name, duty := range map[string]func(context.Context) error{
		"FollowConfiguration": daemon.followConfiguration,
		"FollowReplicas":      daemon.followReplicas,
		"FollowReaders":       daemon.followReaders,
		"FollowSuspects":      daemon.followSuspects,
		"RecordSuspects":      daemon.recordSuspects,
		"ApplyReplicas":       daemon.applyReplicas,
		"Mesh":                daemon.mesh.Run,
		"Lease":               daemon.holdLease,
		"Scheduler":           daemon.scheduler.Run,
		"Report":              daemon.report,
		"Listen":              daemon.hearAnnouncements,
		"AskPeers":            daemon.askPeers,
		"Housekeeping":        daemon.keepHouse,
		"Settings":            func(ctx context.Context) error { return daemon.watchSettings(ctx, reload) },
	} {
		group.Go(func() error {
			err := duty(ctx)
			if ctx.Err() == nil {
				event.DutyFailed.LogError(err, "Duty", name)
			}
			return err
		})
	}
}

// manyDaemons is the number of other daemons from which greetings are too rare to tell of requests in flight.
const manyDaemons = 8

// isReady reports whether the daemon takes requests.
func (daemon *Daemon) isReady() bool {
	return !daemon.stopping.Load() && daemon.relay.Configuration() != nil && daemon.directory.Known()
}

// state returns what the daemon tells others of itself.
func (daemon *Daemon) state() mesh.State {
	state := mesh.State{StoreAge: daemon.storeAge(), Leaving: daemon.stopping.Load()}
	if configuration := daemon.relay.Configuration(); configuration != nil {
		state.Configuration = configuration.Version
	}
	state.Roster, _ = daemon.roster.Version()
	if fence, _, held := daemon.lease.Held(); held {
		state.Fence = fence
	}
	return state
}

// loads returns the requests in flight, if greetings are frequent enough to tell of them.
func (daemon *Daemon) loads() mesh.Loads {
	if daemon.mesh.Count() > manyDaemons {
		return nil
	}
	return daemon.demand.InFlight()
}

// configure puts a configuration in force unless a newer one is.
func (daemon *Daemon) configure(configuration *topology.Configuration, raw []byte, source string) {
	if !daemon.relay.Configure(configuration) {
		return
	}
	daemon.mutex.Lock()
	daemon.rawConfiguration = raw
	daemon.mutex.Unlock()
	daemon.news.tell()
	event.ConfigurationTaken.Log("Version", configuration.Version, "Routes", len(configuration.Routes),
		"Services", len(configuration.Services), "Source", source)
	daemon.scheduler.Update(configuration, daemon.usable(daemon.roster.Entries()))
}
