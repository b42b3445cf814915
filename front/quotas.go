package front

import (
	"context"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/quota"
	"github.com/bronzestall/bronzestall/ratelimit"
	"github.com/bronzestall/bronzestall/topology"
)

// learnInterval is the shortest time between two updates of the daemons that are seen, while this one has just started.
const learnInterval = 100 * time.Millisecond

// maxQuotaAsks is the number of accounts in one message.
const maxQuotaAsks = 512

// accountQuotas charges the accounts of requests.
type accountQuotas struct{ *Daemon }

// Charge charges the account, or returns the time after which its request may be sent again.
func (quotas accountQuotas) Charge(ctx context.Context, account *topology.Account, cost float64) (refund func(), retryAfter time.Duration) {
	waiter := quotas.quotas.Take(account, cost, quotas.clock.Now())
	if !waiter.IsReady() {
		quotas.waitOrSleep(ctx, waiter.Ready(), quota.MaxWait)
	}
	charge, retryAfter, admitted := quotas.quotas.Leave(waiter, quotas.clock.Now())
	if !admitted {
		return nil, retryAfter
	}
	return func() { quotas.quotas.Return(charge) }, 0
}

// requestQuotas asks the daemons that divide the quotas of accounts for what requests need. It sleeps while no account with a quota has
// requests.
func (daemon *Daemon) requestQuotas(ctx context.Context) error {
	for ctx.Err() == nil {
		for grantor, asks := range daemon.dueQuotaAsks() {
			for batch := range slices.Chunk(asks, maxQuotaAsks) {
				go daemon.askQuotaGrantor(ctx, grantor, batch)
			}
		}
		daemon.awaitQuotaAsk(ctx)
	}
	return ctx.Err()
}

// awaitQuotaAsk waits until a question is due.
func (daemon *Daemon) awaitQuotaAsk(ctx context.Context) {
	now := daemon.clock.Now()
	if next, due := daemon.quotas.NextDue(now); due {
		daemon.waitOrSleep(ctx, daemon.quotas.Asks(), max(next.Sub(now), time.Millisecond))
		return
	}
	select {
	case <-ctx.Done():
	case <-daemon.quotas.Asks():
	}
}

// dueQuotaAsks returns the questions that are due, by the daemons to ask.
func (daemon *Daemon) dueQuotaAsks() map[string][]quota.Ask {
	daemon.learnMembers()
	now := daemon.clock.Now()
	asks := daemon.quotas.Due(now)
	if len(asks) == 0 {
		return nil
	}
	live := daemon.membership.Live()
	byGrantor := map[string][]quota.Ask{}
	for _, ask := range asks {
		grantors := ratelimit.Grantors(live, ask.Account)
		if len(grantors) == 0 {
			daemon.quotas.Failed(ask, now)
			continue
		}
		grantor := daemon.quotaRoute.Choose(grantors, now)
		byGrantor[grantor] = append(byGrantor[grantor], ask)
	}
	return byGrantor
}

// askQuotaGrantor asks the daemon of the name, which may be this one, and records its grants.
func (daemon *Daemon) askQuotaGrantor(ctx context.Context, grantor string, asks []quota.Ask) {
	grants, err := daemon.quotaGrantsOf(ctx, grantor, asks)
	now := daemon.clock.Now()
	if err != nil {
		daemon.quotaRoute.Failed(grantor, now)
		for _, ask := range asks {
			daemon.quotas.Failed(ask, now)
		}
		return
	}
	daemon.quotaRoute.Answered(grantor)
	for index, ask := range asks {
		daemon.quotas.Granted(ask, grants[index], now)
	}
}

// quotaGrantsOf returns the grants of the daemon of the name.
func (daemon *Daemon) quotaGrantsOf(ctx context.Context, grantor string, asks []quota.Ask) ([]quota.Grant, error) {
	if grantor == daemon.settings.Name {
		return daemon.grantQuotas(grantor, asks), nil
	}
	address, seen := daemon.mesh.AddressOf(grantor)
	if !seen {
		return nil, trace.NotFound("the daemon %s is not seen", grantor)
	}
	return daemon.mesh.AskQuotas(ctx, address, asks)
}

// grantQuotas responds to the questions of a daemon for amounts of the quotas of accounts, in their order.
func (daemon *Daemon) grantQuotas(asker string, asks []quota.Ask) []quota.Grant {
	daemon.learnMembers()
	now := daemon.clock.Now()
	grants := make([]quota.Grant, 0, len(asks))
	for _, ask := range asks {
		grants = append(grants, daemon.quotaAllocator.Grant(asker, ask, now))
	}
	return grants
}

// learnMembers updates the daemons that are seen more often than housekeeping does, while this one has just started and learns of them.
func (daemon *Daemon) learnMembers() {
	age := daemon.clock.Since(daemon.started)
	last := daemon.membersLearnt.Load()
	if age >= quota.SettleTime || age-time.Duration(last) < learnInterval || !daemon.membersLearnt.CompareAndSwap(last, int64(age)) {
		return
	}
	daemon.observeMembers(daemon.mesh.Live())
}

// observeQuotas updates the accounts with quotas, and the daemons among which they are divided.
func (daemon *Daemon) observeQuotas() {
	configuration := daemon.relay.Configuration()
	if configuration == nil {
		return
	}
	now := daemon.clock.Now()
	members := daemon.quotaMembers(now)
	daemon.quotaDaemons.Store(int64(members.Seen))
	daemon.quotas.SetSeen(members.Seen)
	daemon.quotas.Prune(configuration.Accounts)
	if now.Sub(daemon.started) < quota.SettleTime {
		daemon.quotas.Announce(configuration.Accounts, now)
	}
	daemon.quotaAllocator.Observe(configuration.Accounts, members, now)
}

// quotaMembers returns the daemons among which quotas are divided.
func (daemon *Daemon) quotaMembers(now time.Time) quota.Members {
	seeds := len(daemon.settings.Seeds)
	if slices.Contains(daemon.settings.Seeds, daemon.settings.PeerAddress) {
		seeds--
	}
	return quota.NewMembers(daemon.membership.Live(), daemon.membership.Seen(), seeds, now.Sub(daemon.started))
}
