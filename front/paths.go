package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/platform"
	"github.com/bronzestall/bronzestall/reach"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// pathInterval is the interval of looking for paths that must be probed.
	pathInterval = 100 * time.Millisecond
	// maxWitnesses is the number of other daemons that are asked at once when replicas responded to them.
	maxWitnesses = 4
)

// pathObserver records which replicas this daemon reaches.
type pathObserver struct {
	daemon *Daemon
}

// path returns the key of the path that a connection key belongs to. It returns false for that of the store.
func (observer pathObserver) path(key string) (string, bool) {
	return platform.PathKey(key), key != observer.daemon.settings.StoreAddress
}

// Began records that a call to a replica waits for its response.
func (observer pathObserver) Began(key string, begun time.Time) {
	if path, ok := observer.path(key); ok {
		observer.daemon.paths.Began(path, begun)
	}
}

// Ended records that a call to a replica waits no more.
func (observer pathObserver) Ended(key string, begun time.Time) {
	if path, ok := observer.path(key); ok {
		observer.daemon.paths.Ended(path, begun, observer.daemon.clock.Now())
	}
}

// Reached records a proof of the path to a replica.
func (observer pathObserver) Reached(key string) {
	daemon := observer.daemon
	path, ok := observer.path(key)
	if !ok {
		return
	}
	now := daemon.clock.Now()
	since, _ := daemon.paths.IsCutOff()
	if daemon.paths.Reached(path, now) == reach.Back {
		event.PathsBack.Log("Daemon", daemon.settings.Name, "Replica", path, "For", now.Sub(since))
	}
}

// Failed records that an attempt to reach a replica failed.
func (observer pathObserver) Failed(key string, failure reach.Failure, begun time.Time) {
	daemon := observer.daemon
	if path, ok := observer.path(key); ok {
		daemon.logCutOff(path, daemon.paths.Failed(path, failure, begun, daemon.clock.Now()))
	}
}

// logCutOff logs that this daemon counts as cut off, if that is the change that the path led to.
func (daemon *Daemon) logCutOff(path string, change reach.Change) {
	if change != reach.CutOff {
		return
	}
	known := daemon.paths.Known(path, daemon.clock.Now())
	event.PathsLost.Log("Daemon", daemon.settings.Name, "Replica", path, "Lost", daemon.paths.LostCount(),
		"Failure", known.Failure.String(), "Since", known.FailedSince)
}

// keepPaths drops the paths to replicas that are not among the entries.
func (daemon *Daemon) keepPaths(entries []roster.Entry) {
	keys := make(map[string]bool, len(entries))
	for index := range entries {
		keys[platform.ConnectionKey(entries[index].Replica.Incarnation, entries[index].Replica.Address)] = true
	}
	daemon.paths.Keep(keys)
}

// probePaths probes replicas, apart from requests, and asks other daemons about them, while the paths to some are doubted.
func (daemon *Daemon) probePaths(ctx context.Context) error {
	for ctx.Err() == nil {
		daemon.sleep(ctx, pathInterval)
		daemon.stepPaths(ctx)
	}
	return ctx.Err()
}

// stepPaths starts the probes and questions that are due.
func (daemon *Daemon) stepPaths(ctx context.Context) {
	if daemon.lender.CutOff() {
		daemon.paths.Include(daemon.replicaPaths())
	}
	work := daemon.paths.Step(daemon.clock.Now())
	for _, path := range work.Lost {
		known := daemon.paths.Known(path, daemon.clock.Now())
		event.PathCut.Log("Replica", path, "Failure", known.Failure.String(), "Since", known.FailedSince, "Proved", known.Proved)
		daemon.logCutOff(path, work.Change)
		work.Change = reach.Unchanged
	}
	daemon.logCutOff("", work.Change)
	if len(work.Probes)+len(work.Questions) == 0 {
		return
	}
	replicas := daemon.replicasByPath()
	for _, probe := range work.Probes {
		go daemon.probe(ctx, probe, replicas[probe.Key])
	}
	var asked []topology.Incarnation
	for _, path := range work.Questions {
		if replica, ok := replicas[path]; ok {
			asked = append(asked, replica.Incarnation)
		}
	}
	if len(asked) > 0 {
		daemon.askWitnesses(ctx, asked)
	}
}

// replicasByPath returns the replicas by the keys of their paths.
func (daemon *Daemon) replicasByPath() map[string]topology.Replica {
	replicas := map[string]topology.Replica{}
	for _, entry := range daemon.roster.Entries() {
		replicas[replicaPath(&entry.Replica)] = entry.Replica
	}
	return replicas
}

// replicaPaths returns the keys of the paths to all replicas.
func (daemon *Daemon) replicaPaths() []string {
	entries := daemon.roster.Entries()
	paths := make([]string, 0, len(entries))
	for index := range entries {
		paths = append(paths, replicaPath(&entries[index].Replica))
	}
	return paths
}

// replicaPath returns the key of the path to the replica.
func replicaPath(replica *topology.Replica) string {
	return platform.ConnectionKey(replica.Incarnation, replica.Address)
}

// probe asks the replica for a response. It does nothing if the replica is not known any more, or wants nothing for a while.
func (daemon *Daemon) probe(ctx context.Context, probe reach.Probe, replica topology.Replica) {
	if _, backsOff := daemon.notices.BackoffUntil(replica.Incarnation, daemon.clock.Now()); backsOff || replica.Address == "" {
		daemon.paths.SkipProbe(probe.Key)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	// The observer is told of failures.
	_ = daemon.upstream.Probe(ctx, replica.Incarnation, replica.Address, daemon.healthPath(replica.Service))
	daemon.logCutOff(probe.Key, daemon.paths.ProbeEnded(probe.Key, daemon.clock.Now()))
}

// healthPath returns the path of the health check of a service, or nothing if it has engines.
func (daemon *Daemon) healthPath(name string) string {
	configuration := daemon.relay.Configuration()
	if configuration == nil {
		return ""
	}
	service := configuration.Services[name]
	if service.Engine != nil {
		return ""
	}
	return service.HealthPath
}

// askWitnesses asks some other daemons when the replicas responded to them.
func (daemon *Daemon) askWitnesses(ctx context.Context, replicas []topology.Incarnation) {
	live := daemon.mesh.Live()
	asked := 0
	for _, index := range rand.Perm(len(live)) {
		if live[index].CutOff || live[index].Leaving {
			continue
		}
		if asked++; asked > maxWitnesses {
			return
		}
		go daemon.askWitness(ctx, live[index], replicas)
	}
}

// askWitness asks another daemon when the replicas responded to it.
func (daemon *Daemon) askWitness(ctx context.Context, witness mesh.Peer, replicas []topology.Incarnation) {
	proofs, err := daemon.mesh.FindProofs(ctx, witness.Address, replicas)
	var invalid *mesh.InvalidProofError
	if errors.As(err, &invalid) {
		event.ProofIgnored.LogError(err, "Daemon", witness.Name)
	}
	now := daemon.clock.Now()
	for _, proof := range proofs {
		if replica, ok := daemon.roster.Find(proof.Replica); ok {
			path := replicaPath(&replica)
			daemon.logCutOff(path, daemon.paths.Vouched(path, proof.At, now))
		}
	}
}
