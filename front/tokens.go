package front

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/ratelimit"
)

const (
	// maxTokenPause is the longest time between two checks whether tokens are needed and limits have ended.
	maxTokenPause = 200 * time.Millisecond
	// unlimitedPause is the same while no replica has a limit.
	unlimitedPause = time.Second
)

// requestTokens asks the daemons that divide the limits of replicas for the tokens that requests need.
func (daemon *Daemon) requestTokens(ctx context.Context) error {
	for ctx.Err() == nil {
		daemon.limiter.Prune()
		for grantor, asks := range daemon.dueAsks() {
			go daemon.askGrantor(ctx, grantor, asks)
		}
		daemon.waitOrSleep(ctx, daemon.limiter.Asks(), daemon.tokenPause())
	}
	return ctx.Err()
}

// tokenPause returns the time until the next question is due.
func (daemon *Daemon) tokenPause() time.Duration {
	if !daemon.limiter.Limited() {
		return unlimitedPause
	}
	now := daemon.clock.Now()
	next, due := daemon.limiter.NextDue(now)
	if !due {
		return maxTokenPause
	}
	return min(max(next.Sub(now), time.Millisecond), maxTokenPause)
}

// dueAsks returns the questions that are due, by the daemons to ask.
func (daemon *Daemon) dueAsks() map[string][]ratelimit.Ask {
	now := daemon.clock.Now()
	asks := daemon.limiter.Due(now)
	if len(asks) == 0 {
		return nil
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	live := daemon.membership.Live()
	byGrantor := map[string][]ratelimit.Ask{}
	for _, ask := range asks {
		grantors := ratelimit.Grantors(live, ask.Replica)
		if len(grantors) == 0 {
			daemon.limiter.Failed(ask, now)
			continue
		}
		grantor := daemon.grantorRoute.Choose(grantors, now)
		byGrantor[grantor] = append(byGrantor[grantor], ask)
	}
	return byGrantor
}

// askGrantor asks the daemon of the name, which may be this one, and records its grants.
func (daemon *Daemon) askGrantor(ctx context.Context, grantor string, asks []ratelimit.Ask) {
	grants, err := daemon.grantsOf(ctx, grantor, asks)
	now := daemon.clock.Now()
	if err != nil {
		daemon.withRoute(func(route *ratelimit.Route) { route.Failed(grantor, now) })
		for _, ask := range asks {
			daemon.limiter.Failed(ask, now)
		}
		return
	}
	daemon.withRoute(func(route *ratelimit.Route) { route.Answered(grantor) })
	for index, ask := range asks {
		if grants[index].Refused {
			daemon.withRoute(func(route *ratelimit.Route) { route.Refused(grantor, now) })
			daemon.limiter.Failed(ask, now)
			continue
		}
		daemon.limiter.Granted(ask, grants[index], now)
	}
}

// grantsOf returns the grants of the daemon of the name.
func (daemon *Daemon) grantsOf(ctx context.Context, grantor string, asks []ratelimit.Ask) ([]ratelimit.Grant, error) {
	if grantor == daemon.settings.Name {
		return daemon.grantTokens(grantor, asks), nil
	}
	address, err := daemon.addressOf(grantor)
	if err != nil {
		return nil, err
	}
	var limits []ratelimit.Entry
	for _, ask := range asks {
		if entry, known := daemon.limits.Entry(ask.Replica); known {
			limits = append(limits, entry)
		}
	}
	return daemon.mesh.AskTokens(ctx, address, asks, limits)
}

// addressOf returns the address of the live daemon of the name.
func (daemon *Daemon) addressOf(name string) (string, error) {
	for _, peer := range daemon.mesh.Live() {
		if peer.Name == name {
			return peer.Address, nil
		}
	}
	return "", trace.NotFound("the daemon %s is not seen", name)
}

// withRoute calls the function with the route to grantors while it is not in use otherwise.
func (daemon *Daemon) withRoute(use func(route *ratelimit.Route)) {
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	use(daemon.grantorRoute)
}

// grantTokens responds to the questions of a daemon for tokens, in their order.
func (daemon *Daemon) grantTokens(asker string, asks []ratelimit.Ask) []ratelimit.Grant {
	now := daemon.clock.Now()
	grants := make([]ratelimit.Grant, 0, len(asks))
	for _, ask := range asks {
		daemon.mutex.Lock()
		share := daemon.membership.Share(ask.Replica, now)
		daemon.mutex.Unlock()
		perSecond, limited := daemon.limits.Limit(ask.Replica)
		if share == 0 || !limited {
			grants = append(grants, ratelimit.Grant{Refused: true})
			continue
		}
		grants = append(grants, daemon.allocator.Grant(asker, ask, share*perSecond, now))
	}
	return grants
}

// observeMembers updates the daemons that may divide limits.
func (daemon *Daemon) observeMembers() {
	var others []ratelimit.Member
	for _, peer := range daemon.mesh.Live() {
		others = append(others, ratelimit.Member{Name: peer.Name, Leaving: peer.Leaving})
	}
	daemon.mutex.Lock()
	defer daemon.mutex.Unlock()
	daemon.membership.Observe(others, daemon.stopping.Load(), daemon.clock.Now())
}
