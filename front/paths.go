package front

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// pathObserver records which replicas this daemon reaches.
type pathObserver struct {
	daemon *Daemon
}

// Reached records a proof of the path to a replica.
func (observer pathObserver) Reached(key string) {
	daemon := observer.daemon
	if key == daemon.settings.StoreAddress {
		return
	}
	now := daemon.clock.Now()
	since, _ := daemon.paths.IsCutOff()
	if daemon.paths.Reached(key, now) == reach.Back {
		event.PathsBack.Log("Daemon", daemon.settings.Name, "Replica", key, "For", now.Sub(since))
	}
}

// Lost records that a connection to a replica could not be opened.
func (observer pathObserver) Lost(key string, begun time.Time) {
	daemon := observer.daemon
	if key == daemon.settings.StoreAddress {
		return
	}
	if daemon.paths.Lost(key, begun, daemon.clock.Now()) == reach.CutOff {
		event.PathsLost.Log("Daemon", daemon.settings.Name, "Replica", key, "Lost", daemon.paths.LostCount())
	}
}

// keepPaths drops the paths to replicas that are not among the entries.
func (daemon *Daemon) keepPaths(entries []roster.Entry) {
	keys := make(map[string]bool, len(entries))
	for index := range entries {
		keys[platform.ConnectionKey(entries[index].Replica.Incarnation, entries[index].Replica.Address)] = true
	}
	daemon.paths.Keep(keys)
}

const (
	// probeInterval is the interval of trying to reach replicas: minProbes of them at once, or one in probeShare if that is more.
	probeInterval = 250 * time.Millisecond
	minProbes     = 2
	probeShare    = 4
)

// probePaths tries to reach replicas, apart from requests, while this daemon does not reach some.
func (daemon *Daemon) probePaths(ctx context.Context) error {
	for ctx.Err() == nil {
		daemon.sleep(ctx, probeInterval)
		targets := daemon.probeTargets()
		for _, index := range rand.Perm(len(targets))[:min(max(minProbes, len(targets)/probeShare), len(targets))] {
			replica := &targets[index]
			go daemon.pool.Probe(ctx, platform.ConnectionKey(replica.Incarnation, replica.Address), replica.Address)
		}
	}
	return ctx.Err()
}

// probeTargets returns the replicas that this daemon failed to reach lately, since requests avoid them, or all while it counts as
// cut off, since it sends no requests then.
func (daemon *Daemon) probeTargets() []topology.Replica {
	cutOff := daemon.lender.CutOff()
	if !cutOff && !daemon.lender.AnyLost() {
		return nil
	}
	var targets []topology.Replica
	for _, entry := range daemon.roster.Entries() {
		if cutOff || daemon.lender.Lost(entry.Replica.Incarnation, entry.Replica.Address) {
			targets = append(targets, entry.Replica)
		}
	}
	return targets
}
