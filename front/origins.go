package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/roster"
	"github.com/bronzestall/bronzestall/topology"
)

// streamOrigins is what the relay knows of the origins of streams.
type streamOrigins struct{ *Daemon }

// maxRecordWait is the longest time for which the first event of a stream waits until the origin of the stream is recorded: a
// small part of the latency that clients expect.
const maxRecordWait = 50 * time.Millisecond

// Begin records the origin of a stream. If all daemons end in the next instant, the store has it, unless writing takes longer
// than maxRecordWait.
func (known streamOrigins) Begin(ctx context.Context, stream origin.Stream) {
	recorded := known.origins.Begin(stream, known.clock.Now())
	if recorded == nil {
		return
	}
	if known.originRecorder.pause() > maxRecordWait {
		known.meter.Count(meter.OriginsLate, meter.Labels{}, 1)
		return
	}
	timer := known.clock.NewTimer(maxRecordWait)
	defer timer.Stop()
	select {
	case <-recorded:
	case <-timer.C():
		known.meter.Count(meter.OriginsLate, meter.Labels{}, 1)
	case <-ctx.Done():
	}
}

// Broke records that a stream ended before its client had all of it.
func (known streamOrigins) Broke(id string) {
	known.origins.Broke(id)
}

// Find returns the origin of a stream.
func (known streamOrigins) Find(ctx context.Context, id, service string) (origin.Origin, origin.Source) {
	resolver := origin.Resolver{Registry: known.origins, Sources: originSources(known), Clock: known.clock}
	found, source := resolver.Find(ctx, id, service)
	known.meter.Count(meter.StreamsTakenUp, meter.Labels{Kind: string(source)}, 1)
	return found, source
}

// Age returns how long this daemon has known the origin of the stream.
func (known streamOrigins) Age(id string) time.Duration {
	return known.origins.Age(id, known.clock.Now())
}

// originSources is where the daemon learns of origins and releases.
type originSources struct{ *Daemon }

// Refresh reads the releases of all replicas.
func (sources originSources) Refresh() <-chan bool { return sources.releaseReader.refresh() }

// Ask asks other daemons and reads what is recorded.
func (sources originSources) Ask(ctx context.Context, id string, confirm bool) (origin.Source, bool) {
	return sources.originFinder.ask(ctx, id, confirm)
}

// answerOrigins responds to the question of another daemon for the origins of streams.
func (daemon *Daemon) answerOrigins(ctx context.Context, query mesh.OriginQuery) mesh.OriginAnswer {
	confirmed := query.Confirm && daemon.confirmReleases(ctx)
	now := daemon.clock.Now()
	answer := mesh.OriginAnswer{
		Lately:    daemon.origins.Sightings(now),
		Complete:  daemon.origins.Knows(now) && daemon.dataAge() <= maxStoreAge,
		Confirmed: confirmed && daemon.origins.Knows(now),
	}
	for _, id := range query.Attempts {
		if found, ok := daemon.origins.Find(id, now); ok {
			answer.Streams = append(answer.Streams, origin.Stream{Origin: found, ID: id})
		}
	}
	return answer
}

// confirmTimeout is how long a daemon that another one asks for origins waits for the store: that one waits little longer.
const confirmTimeout = 180 * time.Millisecond

// confirmReleases reads the releases of all replicas, and reports whether that succeeded.
func (daemon *Daemon) confirmReleases(ctx context.Context) bool {
	return origin.Await(ctx, daemon.clock, daemon.releaseReader.refresh(), confirmTimeout)
}

// observeReleases records which releases have replicas.
func (daemon *Daemon) observeReleases(entries []roster.Entry) {
	serving := origin.Releases{}
	seen := map[origin.Origin]bool{}
	for index := range entries {
		replica := &entries[index].Replica
		began := origin.Origin{Service: replica.Service, Release: replica.Release}
		if !seen[began] {
			seen[began] = true
			serving[replica.Service] = append(serving[replica.Service], replica.Release)
		}
	}
	now := daemon.clock.Now()
	daemon.origins.SetServing(serving, now)
	if mixed := daemon.origins.Mixed(now); daemon.releasesMixed.Swap(mixed) != mixed {
		event.ReleasesMixed.Log("Mixed", mixed, "Releases", daemon.origins.Lately(now))
	}
}

// seeRelease records the release of a replica whose row was read. It must be called before the row is used.
func (daemon *Daemon) seeRelease(replica *topology.Replica) {
	began := origin.Origin{Service: replica.Service, Release: replica.Release}
	if !daemon.origins.Serves(began) {
		daemon.origins.Witness(began, daemon.clock.Now())
	}
}

// doubtReleases records that the replica of a row which is gone and was never read may have had any release.
func (daemon *Daemon) doubtReleases(id string) {
	if !daemon.roster.Knew(id) {
		daemon.origins.Doubt(daemon.clock.Now().Add(origin.Retention))
	}
}
