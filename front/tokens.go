package front

import (
	"context"
	"time"

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
	grantors := daemon.tokenGrantors()
	for ctx.Err() == nil {
		daemon.limiter.Prune()
		grantors.askDue(ctx)
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

// tokenGrantors returns how the daemons that divide the limits of replicas are asked.
func (daemon *Daemon) tokenGrantors() *grantors[ratelimit.Ask, ratelimit.Grant] {
	return &grantors[ratelimit.Ask, ratelimit.Grant]{
		daemon:  daemon,
		route:   ratelimit.NewRoute(),
		due:     daemon.limiter.Due,
		keyOf:   func(ask ratelimit.Ask) string { return ask.Replica.ID },
		local:   daemon.grantTokens,
		remote:  daemon.askTokens,
		refused: func(grant ratelimit.Grant) bool { return grant.Refused },
		granted: daemon.limiter.Granted,
		failed:  daemon.limiter.Failed,
	}
}

// askTokens asks the daemon at the address for tokens, and tells it the limits that are known here.
func (daemon *Daemon) askTokens(ctx context.Context, address string, asks []ratelimit.Ask) ([]ratelimit.Grant, error) {
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
