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

// wireOrders makes the parts that agree on who sends orders.
func (daemon *Daemon) wireOrders(random *mathrand.Rand) {
	holder := lease.Holder{Name: daemon.settings.Name, Incarnation: incarnation(), DataCentre: leaseName}
	quick := platform.NewRowStore(daemon.pool, daemon.settings.StoreAddress, leaseCall)
	daemon.mesh = mesh.New(mesh.Settings{
		Self: mesh.Member{
			Name:       daemon.settings.Name,
			Address:    daemon.settings.PeerAddress,
			DataCentre: daemon.settings.DataCentre,
		},
		Seeds:  daemon.settings.Seeds,
		Client: &http.Client{Transport: peerTransport()},
	}, mesh.Parts{
		State:        daemon.state,
		Loads:        daemon.loads,
		Suspects:     daemon.shareSuspects,
		HearSuspects: daemon.hearSuspects,
		Leaving:      daemon.leaving,
		HearLeaving:  daemon.hearLeaving,
		Sync:         daemon.serveSync,
		Answer:       daemon.answer,
		Tables:       quick,
	}, daemon.clock, random)
	daemon.rows = &detour{direct: quick, through: daemon.mesh.Through(daemon.storePeer), lost: daemon.isStoreLost}
	daemon.lease = lease.New(daemon.rows, lease.Settings{
		OneProcess: true,
		Settle:     daemon.settings.Turnover,
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
		Backoff:  daemon.notices.Resting,
		Clock:    daemon.clock,
	})
}

// serveSync takes the report of another daemon.
func (daemon *Daemon) serveSync(ctx context.Context, report mesh.Report) (directory.Announcement, error) {
	return daemon.scheduler.Sync(ctx, report)
}

// incarnation returns a random name of this run.
func incarnation() string {
	var raw [8]byte
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// retryMost returns how many second sendings one of the daemons may have saved up.
func retryMost(settings Settings, daemons int) float64 {
	return math.Max(settings.RetrySlack*retryPart/float64(max(daemons, fewestDaemons)), 1)
}

func peerTransport() *http.Transport {
	return &http.Transport{
		DialContext:         (&net.Dialer{Timeout: peerDialTimeout, KeepAlive: -1}).DialContext,
		MaxIdleConnsPerHost: peerIdleConns,
		IdleConnTimeout:     peerIdle,
		DisableCompression:  true,

		MaxResponseHeaderBytes: headerBytes,
	}
}

// rank returns the place of this daemon among those that may take the lease.
func (daemon *Daemon) rank() int {
	return daemon.placeAmong(daemon.mesh.Live())
}

// placeAmong returns the place of this daemon by name among others, of which those that are about to stop do not count.
func (daemon *Daemon) placeAmong(others []mesh.Known) int {
	before := 0
	for _, other := range others {
		if other.Name < daemon.settings.Name && !other.Leaving {
			before++
		}
	}
	return before
}

// leaseName names the one lease for orders to all engines.
const leaseName = "engines"
