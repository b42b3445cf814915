package daemon

import (
	"context"
	"time"
)

// releaseGrace bounds the hand-over of a lease at a planned stop.
const releaseGrace = 5 * time.Second

// duties lists every job of the daemon.
func (daemon *Daemon) duties() []duty {
	duties := []duty{
		{"serve callers", daemon.callers.duty},
		{"serve operators", daemon.operators.duty},
		{"serve peers", daemon.peers.duty},
		{"follow release notes", daemon.follower.Run},
		{"follow the VM list", daemon.members.run},
		{"observe upstreams", daemon.observe},
		{"exchange with peers", daemon.node.Run},
		{"tell peers", daemon.tellPeers},
		{"hear peers", daemon.hearPeers},
		{"report demand", daemon.demand.run},
		{"ask for transfers", daemon.transfers.run},
		{"look after requests", daemon.lookAfterRequests},
		{"keep claims", daemon.keepClaims},
		{"set gauges", daemon.setGauges},
	}
	for _, candidate := range daemon.candidates.byDataCentre {
		duties = append(duties, duty{"decide for " + candidate.dataCentre, func(ctx context.Context) error {
			return daemon.campaign(ctx, candidate)
		}}, duty{"learn arrivals of " + candidate.dataCentre, candidate.warmth.run})
	}
	return duties
}

// duty serves until the context ends. A server without an address only waits.
func (server *server) duty(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- server.serve() }()
	select {
	case err := <-failed:
		if err != nil {
			return err
		}
		<-ctx.Done()
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (daemon *Daemon) lookAfterRequests(ctx context.Context) error {
	daemon.dispatcher.Run(ctx)
	return ctx.Err()
}

func (daemon *Daemon) keepClaims(ctx context.Context) error {
	daemon.claims.Run(ctx)
	return ctx.Err()
}

// observeEvery is the interval at which the assignment of upstreams is looked at.
const observeEvery = time.Second

// observe keeps the assignment of upstreams in line with the live daemons.
func (daemon *Daemon) observe(ctx context.Context) error {
	defer daemon.observer.Wait()
	return every(ctx, daemon.clock, observeEvery, func(ctx context.Context) {
		daemon.observer.Assign(ctx, daemon.assigned())
		daemon.pool.prune()
	})
}
