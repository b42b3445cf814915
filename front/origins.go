package front

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/meter"
	"github.com/bronzestall/bronzestall/origin"
	"github.com/bronzestall/bronzestall/roster"
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

// Find returns the origin of a stream. While one release serves, and no other did lately, no call is made.
func (known streamOrigins) Find(ctx context.Context, id, service string) (origin.Origin, origin.Source) {
	found, source := known.find(ctx, id, service)
	known.meter.Count(meter.StreamsTakenUp, meter.Labels{Kind: string(source)}, 1)
	return found, source
}

func (known streamOrigins) find(ctx context.Context, id, service string) (origin.Origin, origin.Source) {
	if release, ok := known.onlyRelease(service); ok {
		return origin.Origin{Service: service, Release: release}, origin.Only
	}
	if found, ok := known.origins.Find(id, known.clock.Now()); ok {
		return found, origin.Own
	}
	return known.originFinder.find(ctx, id, service)
}

// onlyRelease returns the only release that can have begun streams of the service. It returns false if there may be others, or
// if this daemon would not know: its data from the store is too old.
func (daemon *Daemon) onlyRelease(service string) (string, bool) {
	if daemon.dataAge() > maxStoreAge {
		return "", false
	}
	return daemon.origins.Only(service, daemon.clock.Now())
}

// answerOrigins responds to the question of another daemon for the origins of streams.
func (daemon *Daemon) answerOrigins(attempts []string) mesh.OriginAnswer {
	now := daemon.clock.Now()
	answer := mesh.OriginAnswer{Lately: daemon.origins.Lately(now), Complete: daemon.origins.IsComplete() && daemon.dataAge() <= maxStoreAge}
	for _, id := range attempts {
		if found, ok := daemon.origins.Find(id, now); ok {
			answer.Streams = append(answer.Streams, origin.Stream{Origin: found, ID: id})
		}
	}
	return answer
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
	before := daemon.origins.Mixed(now)
	daemon.origins.SetServing(serving, now)
	if mixed := daemon.origins.Mixed(now); mixed != before {
		event.ReleasesMixed.Log("Mixed", mixed, "Releases", daemon.origins.Lately(now))
	}
}
