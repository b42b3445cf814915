package front

import (
	mathrand "math/rand/v2"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/boottime"
	"github.com/bronzestall/bronzestall/brittle"
	"github.com/bronzestall/bronzestall/bytebudget"
	"github.com/bronzestall/bronzestall/connection"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/ingress"
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
)

// New returns a daemon that has not started. The daemon reads the settings file again when it changes, unless
// settingsFile is empty. droppedLines returns the number of log lines dropped since its last call; nil means
// that none are dropped.
func New(settings Settings, settingsFile string, droppedLines func() int64) *Daemon {
	settings = settings.withDefaults()
	var clk boottime.Clock
	random := mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))
	daemon := &Daemon{
		settings:        settings,
		settingsFile:    settingsFile,
		droppedLines:    droppedLines,
		clock:           clk,
		meter:           meter.New(),
		roster:          roster.New(),
		directory:       directory.New(clk),
		balancer:        balance.New(random),
		demand:          demand.New(),
		suspects:        quarantine.NewTracker(crashLimit),
		notices:         notice.New(),
		limits:          ratelimit.NewTable(),
		brittle:         brittle.New(mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))),
		allocator:       ratelimit.NewAllocator(),
		membership:      ratelimit.NewMembership(settings.Name, clk.Now()),
		quotas:          quota.NewLimiter(mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64()))),
		quotaAllocator:  quota.NewAllocator(settings.Name, settings.QuotaSlack),
		started:         clk.Now(),
		suspectRows:     newExpiringRows(suspectTable),
		originRows:      newExpiringRows(originTable),
		origins:         origin.New(),
		rollouts:        rollout.New(),
		paths:           reach.New(),
		held:            bytebudget.New(settings.HeldBytes),
		reportRequested: make(chan struct{}, 1),
		stopStarted:     make(chan struct{}),
		replicasChanged: make(chan struct{}, 1),
		storeSeen:       clk.Now(),
		replicasSeen:    clk.Now(),
	}
	daemon.pool = connection.New(connection.Settings{Observer: pathObserver{daemon}}, clk)
	daemon.originFinder = newOriginFinder(daemon)
	daemon.releaseReader = newReleaseReader(daemon)
	daemon.originRecorder = newOriginRecorder(daemon)
	daemon.suspects.SetTurns(daemon.partTurn)
	daemon.limiter = ratelimit.NewLimiter(daemon.limits)
	daemon.protocols = protocol.NewRegistry(clk)
	daemon.meter.Set(meter.Build, meter.Labels{Subject: protocol.Build()}, int64(protocol.Current))
	daemon.eras = platform.NewEraTracker(&eraLog{daemon: daemon})
	daemon.store = platform.NewRowStore(daemon.pool, settings.StoreAddress, storeTimeout, daemon.eras)
	daemon.upstream = platform.NewUpstream(daemon.pool, replicaListener{daemon}, clk)
	daemon.lender = newLender(daemon)
	daemon.relay = relay.New(relay.Settings{
		Zone:            settings.DataCentre,
		RetryShare:      settings.RetryShare * retryFraction,
		MaxSavedRetries: retryBudgetLimit(settings, minRetryDaemons),
		KeyRevocation:   settings.KeyRevocation,
	}, relay.Deps{
		Upstream:         daemon.upstream,
		Directory:        daemon.directory,
		Balancer:         daemon.balancer,
		Demand:           daemon.demand,
		Suspects:         daemon.suspects,
		Notices:          daemon.notices,
		OnModelWait:      daemon.requestReport,
		Limiter:          daemon.limiter,
		Origins:          streamOrigins{daemon},
		Rollouts:         daemon.rollouts,
		Lender:           daemon.lender,
		Prover:           prover{daemon},
		Brittle:          daemon.brittle,
		Held:             daemon.held,
		Quotas:           accountQuotas{daemon},
		ConfigurationAge: daemon.configurationAge,
		MayLoad:          daemon.mayLoad,
		DaemonIndex:      func() int { return int(daemon.daemonIndex.Load()) },
		Clock:            clk,
	})
	daemon.ingress = ingress.New(ingress.Deps{
		Relay:     daemon.relay,
		Decode:    platform.DecodeRequestHeader,
		RemoveKey: platform.RemoveKey,
		Meter:     daemon.meter,
		Clock:     clk,

		Held:         daemon.held,
		BodyProgress: settings.BodyProgress,
	})
	daemon.lent = daemon.newLendingHandler()
	daemon.lent.Hold(daemon.held)
	daemon.wireScheduling(mathrand.New(mathrand.NewPCG(mathrand.Uint64(), mathrand.Uint64())))
	return daemon
}
