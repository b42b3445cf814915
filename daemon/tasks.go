package daemon

import (
	"context"
	"time"
)

// leaseReleaseTimeout is the time within which a decider that ends records its end and releases the lease.
const leaseReleaseTimeout = 5 * time.Second

// tasks lists the tasks of the daemon.
func (daemon *Daemon) tasks() []task {
	tasks := []task{
		{"serve callers", daemon.callers.task},
		{"serve operators", daemon.operators.task},
		{"serve peers", daemon.peers.task},
		{"follow release notes", daemon.follower.Run},
		{"follow the VM list", daemon.members.run},
		{"observe upstreams", daemon.observe},
		{"exchange records with peers", daemon.node.Run},
		{"publish own record", daemon.publishRecord},
		{"apply peer records", daemon.applyRecords},
		{"report demand", daemon.demand.run},
		{"request transfers", daemon.transfers.run},
		{"dispatch requests", daemon.runDispatcher},
		{"store claims", daemon.runClaims},
		{"set gauges", daemon.setGauges},
	}
	for _, candidate := range daemon.candidates.byDataCentre {
		tasks = append(tasks, task{"decide for " + candidate.dataCentre, func(ctx context.Context) error {
			return daemon.campaign(ctx, candidate)
		}}, task{"learn arrivals of " + candidate.dataCentre, candidate.keepWarm.run})
	}
	return tasks
}

// task serves until ctx ends. A server without an address only waits.
func (server *server) task(ctx context.Context) error {
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

func (daemon *Daemon) runDispatcher(ctx context.Context) error {
	daemon.dispatcher.Run(ctx)
	return ctx.Err()
}

func (daemon *Daemon) runClaims(ctx context.Context) error {
	daemon.claims.Run(ctx)
	return ctx.Err()
}

// observeInterval is the interval at which the assignment of engines to daemons is updated.
const observeInterval = time.Second

// observe polls the engines that are assigned to this daemon and closes the clients of removed upstreams.
func (daemon *Daemon) observe(ctx context.Context) error {
	defer daemon.observer.Wait()
	return every(ctx, daemon.clock, observeInterval, func(ctx context.Context) {
		daemon.observer.Assign(ctx, daemon.assigned())
		daemon.pool.prune()
	})
}
