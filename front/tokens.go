package front

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/mesh"
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
	live := daemon.membership.Live()
	byGrantor := map[string][]ratelimit.Ask{}
	for _, ask := range asks {
		grantors := ratelimit.Grantors(live, ask.Replica.ID)
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
		daemon.grantorRoute.Failed(grantor, now)
		for _, ask := range asks {
			daemon.limiter.Failed(ask, now)
		}
		return
	}
	daemon.grantorRoute.Answered(grantor)
	for index, ask := range asks {
		if grants[index].Refused {
			daemon.grantorRoute.Refused(grantor, now)
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
	address, seen := daemon.mesh.AddressOf(grantor)
	if !seen {
		return nil, trace.NotFound("the daemon %s is not seen", grantor)
	}
	var limits []ratelimit.Entry
	for _, ask := range asks {
		if entry, known := daemon.limits.Entry(ask.Replica); known {
			limits = append(limits, entry)
		}
	}
	return daemon.mesh.AskTokens(ctx, address, asks, limits)
}

// grantTokens responds to the questions of a daemon for tokens, in their order.
func (daemon *Daemon) grantTokens(asker string, asks []ratelimit.Ask) []ratelimit.Grant {
	now := daemon.clock.Now()
	grants := make([]ratelimit.Grant, 0, len(asks))
	for _, ask := range asks {
		share := daemon.membership.Share(ask.Replica.ID, now)
		perSecond, limited := daemon.limits.Limit(ask.Replica)
		if share == 0 || !limited {
			grants = append(grants, ratelimit.Grant{Refused: true})
			continue
		}
		grants = append(grants, daemon.allocator.Grant(asker, ask, share*perSecond, now))
	}
	return grants
}

// observeMembers updates the daemons that may divide limits. live lists the other daemons.
func (daemon *Daemon) observeMembers(live []mesh.Peer) {
	others := make([]ratelimit.Member, 0, len(live))
	for _, peer := range live {
		others = append(others, ratelimit.Member{Name: peer.Name, Leaving: peer.Leaving})
	}
	daemon.membership.Observe(others, daemon.stopping.Load(), daemon.clock.Now())
	daemon.observeQuotas()
}
