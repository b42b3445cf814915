package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// prover knows when replicas responded to this daemon last.
type prover struct {
	daemon *Daemon
}

// Responded reports whether a byte of the replica has come since the time. If none has, it sends the replica a probe, unless one is
// under way or was just sent. A replica that is not known any more has not responded.
func (prover prover) Responded(ctx context.Context, incarnation topology.Incarnation, since time.Time) bool {
	daemon := prover.daemon
	replica, ok := daemon.roster.Find(incarnation)
	if !ok {
		return false
	}
	proved, probe := daemon.proveSince(ctx, replica, since)
	if probe != nil {
		go probe()
	}
	return proved
}

// proveSince reports whether a byte of the replica has come since the time. If none has, it returns the probe that was begun, which
// returns once it has ended; nil if none may be sent now.
func (daemon *Daemon) proveSince(ctx context.Context, replica topology.Replica, since time.Time) (proved bool, run func()) {
	path, now := replicaPath(&replica), daemon.clock.Now()
	if !daemon.paths.Known(path, now).Proved.Before(since) {
		return true, nil
	}
	probe, ok := daemon.paths.BeginProbe(path, now)
	if !ok {
		return false, nil
	}
	return false, func() { daemon.probe(context.WithoutCancel(ctx), probe, replica) }
}
