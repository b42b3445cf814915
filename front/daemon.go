package front

import (
	"context"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/brittle"
	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/connection"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/inbound"
	"github.com/bronzestall/bronzestall/ingress"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/lending"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/notice"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/protocol"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/quota"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/relay"
	"github.com/bronzestall/bronzestall/rollout"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/scheduler"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// memoryLimitFraction is the fraction of the memory limit given to the Go runtime as its soft limit,
	// above which garbage collection runs more often. It leaves room for the program itself, and for what is allocated during a collection.
	memoryLimitFraction = 0.45
	// storeTimeout bounds one call to the platform's store.
	storeTimeout = 900 * time.Millisecond
	// leaseTerm is the duration of the lease that permits sending orders to engines, and leaseRenewal the
	// interval at which its holder renews it.
	leaseTerm    = 2 * time.Second
	leaseRenewal = 500 * time.Millisecond
	// leaseTimeout bounds one call about a single row, such as that of the lease.
	leaseTimeout = 500 * time.Millisecond
	// retryFraction is the fraction of the permitted retries that daemons use. The rest is a margin, since
	// each daemon knows only approximately how many others there are.
	retryFraction = 0.6
	// minRetryDaemons is the least number of daemons among which the permitted retries are divided.
	minRetryDaemons = 4
)

// Daemon is one front daemon, which serves the clients of the users' platform. Use New.
type Daemon struct {
	settings Settings
	// settingsFile is the file that is read again when it changes; empty if there is none.
	settingsFile string
	// droppedLines returns the number of log lines dropped since its last call; may be nil.
	droppedLines func() int64
	clock        clock.WithTicker
	// started is when the daemon was created.
	started time.Time
	meter   *meter.Meter

	pool      *connection.Pool
	store     *platform.RowStore
	upstream  *platform.Upstream
	roster    *roster.Roster
	directory *directory.Directory
	balancer  *balance.Balancer
	demand    *demand.Counter
	suspects  *quarantine.Tracker
	notices   *notice.Registry
	limits    *ratelimit.Table
	// brittle is what this daemon knows of replicas that fall over for rejections.
	brittle   *brittle.Guard
	limiter   *ratelimit.Limiter
	allocator *ratelimit.Allocator
	// origins is what this daemon knows of the origins of streams, and originFinder asks others.
	origins      *origin.Registry
	originFinder *originFinder
	// releaseReader reads which releases have replicas when streams are taken up, and releasesMixed is set while a service has, or
	// lately had, several.
	releaseReader *releaseReader
	releasesMixed atomic.Bool
	// rollouts knows which releases leave, and releaseMeter shows the replicas of all. Only housekeeping uses the latter.
	rollouts     *rollout.Tracker
	releaseMeter releaseMeter
	// originRecorder records those that this daemon began.
	originRecorder *originRecorder
	// lender passes requests to other daemons, and lent serves theirs.
	lender *lender
	lent   *lending.Handler
	// paths holds which replicas this daemon reaches.
	paths *reach.Paths
	// membership is what this daemon knows of all daemons that may divide limits.
	membership *ratelimit.Membership

	// quotas holds what this daemon may use of the quotas of accounts, and quotaAllocator divides them among all daemons.
	quotas         *quota.Limiter
	quotaAllocator *quota.Allocator
	// quotaLog logs which are used up.
	quotaLog quotaLog
	// quotaDaemons is the number of daemons among which quotas are divided.
	quotaDaemons atomic.Int64
	// membersLearnt is the age of this daemon when it last updated the daemons that it sees for a question about quotas.
	membersLearnt atomic.Int64

	// held bounds the bytes held of responses of replicas and bodies of clients.
	held *bytebudget.Budget

	relay   *relay.Relay
	ingress *ingress.Ingress
	mesh    *mesh.Node
	lease   *lease.Lease
	// protocols keeps the versions of the protocol that other daemons tell.
	protocols *protocol.Registry
	// eras is the era of the store, from its responses and from other daemons.
	eras *platform.EraTracker
	// rowStore reads and writes single rows of the store, through another daemon if the store does not answer
	// this one.
	rowStore  mesh.RowStore
	scheduler *scheduler.Scheduler

	// clientConnections tracks the connections of clients; nil before the daemon listens.
	clientConnections atomic.Pointer[inbound.Connections]
	// shedLogged and unreadLogged are the numbers of connections closed for want of room, and of responses that ended unread, that were
	// logged. Only housekeeping uses them.
	shedLogged, unreadLogged int64

	// stopping is set when the daemon is shutting down and fails its readiness check.
	stopping atomic.Bool
	// stopStarted is closed when the daemon begins to shut down.
	stopStarted chan struct{}
	// daemonIndex is the ordinal of this daemon among the live ones, by name.
	daemonIndex atomic.Int64
	// daemonCount is the number of live daemons.
	daemonCount atomic.Int64
	// readerRole is set if this daemon is one of the readers of its data centre, which read the store's
	// tables for the others.
	readerRole atomic.Bool
	// reportRequested requests a demand report to the lease holder at once.
	reportRequested chan struct{}
	// updates is notified when this daemon has something new for other daemons.
	updates broadcast
	// storeTurned is notified when the store falls silent and when it answers again: calls that wait for it may wait in vain on
	// connections that yield nothing more.
	storeTurned broadcast
	// suspectRows and originRows hold the known rows of the tables of suspects and of origins.
	suspectRows, originRows *expiringRows
	// replicasChanged requests that the replica table is applied again.
	replicasChanged chan struct{}

	mutex sync.Mutex
	// configurationRow is the stored row of the configuration in force, for daemons that cannot read it
	// themselves.
	configurationRow []byte
	// configurationConfirmed is the latest time at which the configuration is known to have been in force; zero if none is.
	configurationConfirmed time.Time
	// storeSeen is when the store last answered.
	storeSeen time.Time
	// replicasSeen is when the store last answered a call for the replica table.
	replicasSeen time.Time
	// storeLost is set while the store does not answer, and storeSilent while it lets calls wait in vain rather than refuse them.
	storeLost, storeSilent bool
	// relayedStoreSeen is when the store last answered the reader named currentReader, from which this daemon
	// last received an update.
	relayedStoreSeen time.Time
	currentReader    string
}

// The bounds of connections to other daemons.
const (
	peerDialTimeout  = 400 * time.Millisecond
	peerIdleTimeout  = 20 * time.Second
	peerMaxIdleConns = 8
)

// Run serves until the context ends, and then shuts down gracefully. It fails if a listener cannot be opened.
func (daemon *Daemon) Run(ctx context.Context, reload <-chan struct{}) error {
	runtime.GOMAXPROCS(daemon.settings.Cores)
	debug.SetMemoryLimit(int64(memoryLimitFraction * float64(daemon.settings.MemoryLimit)))
	servers, err := daemon.listen()
	if err != nil {
		return err
	}
	event.FrontStarted.Log("Daemon", daemon.settings.Name, "DataCentre", daemon.settings.DataCentre,
		"Client", daemon.settings.ClientAddress, "Peer", daemon.settings.PeerAddress, "Store", daemon.settings.StoreAddress)
	tasks, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, tasks := errgroup.WithContext(tasks)
	servers.serve(group)
	daemon.startTasks(tasks, group, reload)
	select {
	case <-ctx.Done():
	case <-tasks.Done():
	}
	daemon.stop(servers)
	cancel()
	// The tasks end only with their context; other errors were logged when the task ended.
	_ = group.Wait()
	return nil
}

// startTasks starts the background tasks. A task that ends before its context is logged.
func (daemon *Daemon) startTasks(ctx context.Context, group *errgroup.Group, reload <-chan struct{}) {
	for name, task := range map[string]func(context.Context) error{
		"FollowConfiguration": daemon.watchConfiguration,
		"FollowReplicas":      daemon.watchReplicas,
		"FollowReaders":       daemon.pollReaders,
		"FollowSuspects":      daemon.watchSuspects,
		"RecordSuspects":      daemon.runSuspectRecorder,
		"ProbePaths":          daemon.probePaths,
		"LoadOrigins":         daemon.loadOrigins,
		"RecordOrigins":       daemon.recordOrigins,
		"ExpireOrigins":       daemon.expireOrigins,
		"RecordInventory":     daemon.recordInventory,
		"ApplyReplicas":       daemon.applyReplicas,
		"Mesh":                daemon.mesh.Run,
		"Lease":               daemon.holdLease,
		"Scheduler":           daemon.scheduler.Run,
		"Report":              daemon.sendReports,
		"Tokens":              daemon.requestTokens,
		"Quotas":              daemon.requestQuotas,
		"Listen":              daemon.pollAnnouncements,
		"AskPeers":            daemon.fetchPeerUpdates,
		"Housekeeping":        daemon.runHousekeeping,
		"LenderProbes":        daemon.lender.runProbes,
		"Settings":            func(ctx context.Context) error { return daemon.watchSettings(ctx, reload) },
	} {
		group.Go(func() error {
			err := task(ctx)
			if ctx.Err() == nil {
				event.DutyFailed.LogError(err, "Duty", name)
			}
			return err
		})
	}
}

// maxPeersForInFlight is the largest number of other daemons with which greetings carry requests in flight.
// With more, greetings to each daemon are too rare for the counts to be useful.
const maxPeersForInFlight = 8

// isReady reports whether the daemon accepts requests: it is informed, and can check keys unless others seem unable to, too. A daemon that
// sees others would be told by them; if none can check keys, all still serve public routes.
func (daemon *Daemon) isReady() bool {
	return daemon.isInformed() && (daemon.relay.KeysUsable() || daemon.mesh.LiveCount() > 0)
}

// isInformed reports whether the daemon has a configuration, knows a replica and the limits that other daemons know, and is not shutting
// down.
func (daemon *Daemon) isInformed() bool {
	return !daemon.stopping.Load() && daemon.relay.Configuration() != nil && daemon.directory.HasReplicas() && daemon.knowsLimits()
}

// state returns the state that this daemon announces to others.
func (daemon *Daemon) state() mesh.State {
	state := mesh.State{StoreAge: daemon.storeAge(), Leaving: daemon.stopping.Load(), CutOff: daemon.lender.CutOff()}
	if configuration := daemon.relay.Configuration(); configuration != nil {
		state.ConfigurationVersion = configuration.Version
	}
	state.RosterVersion, _ = daemon.roster.Version()
	if fence, _, held := daemon.lease.Held(); held {
		state.Fence = fence
	}
	return state
}

// inFlight returns the requests in flight, or nil if greetings are too rare to carry them.
func (daemon *Daemon) inFlight() mesh.InFlightCounts {
	if daemon.mesh.LiveCount() > maxPeersForInFlight {
		return nil
	}
	return daemon.demand.InFlight()
}

// applyConfiguration puts a configuration in force, unless the one in force is as new or newer. raw is its
// stored row.
func (daemon *Daemon) applyConfiguration(configuration *topology.Configuration, raw []byte, source string) {
	if !daemon.relay.Configure(configuration) {
		return
	}
	daemon.mutex.Lock()
	daemon.configurationRow = raw
	daemon.mutex.Unlock()
	daemon.updates.notify()
	event.ConfigurationTaken.Log("Version", configuration.Version, "Routes", len(configuration.Routes),
		"Services", len(configuration.Services), "Source", source)
	logAccounts(configuration)
	daemon.observeQuotas()
	daemon.scheduler.Update(configuration, daemon.usable(daemon.roster.Entries()))
}
