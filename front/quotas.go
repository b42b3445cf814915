package front

import (
	"context"
	"slices"
	"time"

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
	grantors := daemon.quotaGrantors()
	for ctx.Err() == nil {
		daemon.learnMembers()
		grantors.askDue(ctx)
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

// quotaGrantors returns how the daemons that divide the quotas of accounts are asked.
func (daemon *Daemon) quotaGrantors() *grantors[quota.Ask, quota.Grant] {
	return &grantors[quota.Ask, quota.Grant]{
		daemon:   daemon,
		route:    ratelimit.NewRoute(),
		due:      daemon.quotas.Due,
		keyOf:    func(ask quota.Ask) string { return ask.Account },
		mostAsks: maxQuotaAsks,
		local:    daemon.grantQuotas,
		remote:   daemon.mesh.AskQuotas,
		granted:  daemon.quotas.Granted,
		failed:   daemon.quotas.Failed,
	}
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
