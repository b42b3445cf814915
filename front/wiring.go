package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"

	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/lease"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/scheduler"
)

// wireScheduling creates the mesh, the lease and the scheduler, which together determine the daemon that
// sends orders.
func (daemon *Daemon) wireScheduling(random *mathrand.Rand) {
	holder := lease.Holder{Name: daemon.settings.Name, Incarnation: incarnation(), DataCentre: leaseName}
	leaseStore := platform.NewRowStore(daemon.pool, daemon.settings.StoreAddress, leaseTimeout, daemon.eras)
	daemon.mesh = mesh.New(mesh.Settings{
		Self: mesh.Member{
			Name:       daemon.settings.Name,
			Address:    daemon.settings.PeerAddress,
			DataCentre: daemon.settings.DataCentre,
		},
		Seeds:  daemon.settings.Seeds,
		Client: &http.Client{Transport: peerTransport()},
	}, mesh.Deps{
		State:           daemon.state,
		InFlight:        daemon.inFlight,
		Suspects:        daemon.suspectsToShare,
		ReceiveSuspects: daemon.receiveSuspects,
		Leaving:         daemon.leavingToShare,
		ReceiveLeaving:  daemon.receiveLeaving,
		Limits:          daemon.limitsToShare,
		ReceiveLimits:   daemon.receiveLimits,
		Grant:           daemon.grantTokens,
		GrantQuotas:     daemon.grantQuotas,
		Origins:         daemon.answerOrigins,
		Proofs:          daemon.findProofs,
		Sync:            daemon.serveSync,
		Update:          daemon.waitForUpdate,
		Protocols:       daemon.protocols,
		Store:           leaseStore,
	}, daemon.clock, random)
	daemon.rowStore = &fallbackStore{direct: leaseStore, viaPeer: daemon.mesh.StoreProxy(daemon.storePeerAddress), lost: daemon.isStoreLost, eras: daemon.eras}
	daemon.lease = lease.New(daemon.rowStore, lease.Settings{
		OneProcess: true,
		SettleTime: daemon.settings.Turnover,
		DataCentre: leaseName,
		Term:       leaseTerm,
		RenewEvery: leaseRenewal,
		Rank:       daemon.rank,
	}, daemon.clock, holder)
	daemon.scheduler = scheduler.New(scheduler.Settings{
		Name:     daemon.settings.Name,
		Turnover: daemon.settings.Turnover,
		Planner: residency.Settings{
			StoreLoadsAtOnce: daemon.settings.LoadsAtOnce,
			LoadWindow:       daemon.settings.LoadWindow,
		},
	}, scheduler.Deps{
		Lease:    daemon.lease,
		Engines:  daemon.upstream,
		Loadings: daemon.directory.Loadings,
		Backoff:  daemon.notices.BackoffUntil,
		Limit:    daemon.limits.Limit,
		Clock:    daemon.clock,
	})
}

// serveSync handles the report of another daemon.
func (daemon *Daemon) serveSync(ctx context.Context, report mesh.Report) (directory.Announcement, error) {
	return daemon.scheduler.Sync(ctx, report)
}

// incarnation returns a random identifier of this process.
func incarnation() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// retryBudgetLimit returns the largest number of unused retries that one of the daemons may accumulate.
func retryBudgetLimit(settings Settings, daemons int) float64 {
	return math.Max(settings.RetrySlack*retryFraction/float64(max(daemons, minRetryDaemons)), 1)
}

func peerTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: peerMaxIdleConns,
		IdleConnTimeout:     peerIdleTimeout,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// rank returns the ordinal of this daemon, by name, among those that may acquire the lease.
func (daemon *Daemon) rank() int {
	return daemon.rankAmong(daemon.mesh.Live())
}

// rankAmong returns the ordinal of this daemon by name among others, not counting those that are shutting
// down.
func (daemon *Daemon) rankAmong(others []mesh.Peer) int {
	ordinal := 0
	for _, other := range others {
		if other.Name < daemon.settings.Name && !other.Leaving {
			ordinal++
		}
	}
	return ordinal
}

// leaseName names the single lease for orders to all engines.
const leaseName = "engines"
