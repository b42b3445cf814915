package front

import (
	"context"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// recentProof is the age up to which a proof is told without a probe, and witnessWait how long a daemon that asks waits for
	// probes.
	recentProof = 250 * time.Millisecond
	witnessWait = 300 * time.Millisecond
)

// findProofs returns when replicas responded to this daemon last, for another one to which they do not. Those that did not lately are
// probed first. Replicas that are not known here are left out.
func (daemon *Daemon) findProofs(ctx context.Context, incarnations []topology.Incarnation) []mesh.Proof {
	var probes sync.WaitGroup
	var known []topology.Replica
	for _, incarnation := range incarnations {
		replica, ok := daemon.roster.Find(incarnation)
		if !ok {
			continue
		}
		known = append(known, replica)
		if _, probe := daemon.proveSince(ctx, replica, daemon.clock.Now().Add(-recentProof)); probe != nil {
			probes.Go(probe)
		}
	}
	daemon.awaitProbes(ctx, &probes)
	var proofs []mesh.Proof
	for _, replica := range known {
		if proved := daemon.paths.Known(replicaPath(&replica), daemon.clock.Now()).Proved; !proved.IsZero() {
			proofs = append(proofs, mesh.Proof{Replica: replica.Incarnation, At: proved})
		}
	}
	return proofs
}

// awaitProbes waits for the probes for witnessWait at most. Those that take longer go on.
func (daemon *Daemon) awaitProbes(ctx context.Context, probes *sync.WaitGroup) {
	done := make(chan struct{})
	go func() {
		probes.Wait()
		close(done)
	}()
	timer := daemon.clock.NewTimer(witnessWait)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C():
	case <-ctx.Done():
	}
}
