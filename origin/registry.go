package origin

import (
	"slices"
	"sync"
	"time"
)

// maxStreams is the largest number of origins that a registry holds; the oldest one yields.
const maxStreams = 8192

// Registry is what one daemon knows of the origins of streams. It is safe for concurrent use. Use New.
type Registry struct {
	mutex sync.Mutex
	// streams maps the IDs of attempts to what is known of their streams.
	streams map[string]*entry
	// order lists the IDs from the oldest entry on. It may list IDs that were dropped.
	order []dated
	// services holds the releases that serve or did lately.
	services services
	// complete is set once the recorded origins and releases were read.
	complete bool
	// gaps counts how often rows may have come and gone unseen.
	gaps int
	// doubtUntil is until when a release may have served lately that the registry does not know; zero if there is none.
	doubtUntil time.Time
	// unrecorded holds the streams to record.
	unrecorded Batch
	// wake has an entry while there are streams to record, and hurry while one of these streams broke off. lacking has one after the
	// registry became incomplete.
	wake, hurry, lacking chan struct{}
	// evicted counts the origins that were dropped for want of room.
	evicted int
}

// Batch is a number of streams that are recorded together.
type Batch struct {
	// Streams lists the streams, the oldest first, without duplicates.
	Streams []Stream
	// recorded is closed once the streams are recorded; nil if there are none.
	recorded chan struct{}
}

// Recorded states that the streams are recorded.
func (batch Batch) Recorded() {
	if batch.recorded != nil {
		close(batch.recorded)
	}
}

// entry is what is known of one stream.
type entry struct {
	Origin
	// since is when the entry was added.
	since time.Time
	// own is set if this daemon passed the first event on.
	own bool
	// waiting is set while the stream is in Registry.unrecorded.
	waiting bool
	// disputed is set if two origins were named for the stream.
	disputed bool
}

// dated is an ID with the time of its entry.
type dated struct {
	id    string
	since time.Time
}

// New returns an empty registry, which is not complete.
func New() *Registry {
	return &Registry{
		streams: map[string]*entry{}, services: services{},
		wake: make(chan struct{}, 1), hurry: make(chan struct{}, 1), lacking: make(chan struct{}, 1),
	}
}

// Begin adds the origin of a stream before its first event is passed on. A second origin of the same attempt makes it unknown. The
// release counts as seen: another daemon may have sent the request to a replica that this one does not know.
// If the stream is to be recorded, Begin returns a channel that is closed once it is; otherwise it returns nil.
func (registry *Registry) Begin(stream Stream, now time.Time) <-chan struct{} {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known := registry.put(stream, now)
	if known == nil {
		return nil
	}
	known.own = true
	if !registry.services[stream.Service][stream.Release].serving {
		registry.witness(stream.Origin, now)
	}
	if len(registry.services.lately(stream.Service, now)) < 2 {
		return nil
	}
	registry.await(stream, known)
	return registry.unrecorded.recorded
}

// Learn adds origins that other daemons recorded.
func (registry *Registry) Learn(streams []Stream, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, stream := range streams {
		registry.put(stream, now)
	}
}

// put adds the origin and returns its entry, or nil if the ID is too long. The mutex is held.
func (registry *Registry) put(stream Stream, now time.Time) *entry {
	if stream.ID == "" || len(stream.ID) > MaxIDBytes {
		return nil
	}
	if known, ok := registry.streams[stream.ID]; ok && now.Sub(known.since) < Retention {
		known.disputed = known.disputed || known.Origin != stream.Origin
		return known
	}
	registry.dropOldest(now)
	added := &entry{Origin: stream.Origin, since: now}
	registry.streams[stream.ID] = added
	registry.order = append(registry.order, dated{stream.ID, now})
	return added
}

// dropOldest drops expired entries, and the oldest one if there is no room. The mutex is held.
func (registry *Registry) dropOldest(now time.Time) {
	for len(registry.order) > 0 {
		oldest := registry.order[0]
		expired := now.Sub(oldest.since) >= Retention
		if !expired && len(registry.streams) < maxStreams {
			return
		}
		registry.order = registry.order[1:]
		known, ok := registry.streams[oldest.id]
		if !ok || !known.since.Equal(oldest.since) {
			continue
		}
		delete(registry.streams, oldest.id)
		if !expired {
			registry.evicted++
		}
	}
}

// await adds the stream to those to record. The mutex is held.
func (registry *Registry) await(stream Stream, known *entry) {
	if known.waiting {
		return
	}
	known.waiting = true
	if registry.unrecorded.recorded == nil {
		registry.unrecorded.recorded = make(chan struct{})
	}
	registry.unrecorded.Streams = append(registry.unrecorded.Streams, stream)
	notify(registry.wake)
}

// Broke records that the stream ended before its client had all of it, so that the client may take it up.
func (registry *Registry) Broke(id string) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if known, ok := registry.streams[id]; ok && known.waiting {
		notify(registry.hurry)
	}
}

// SetServing replaces the releases that have replicas. It must be called before a request is sent to a new release. If a
// service has a second release from now on, all streams that this daemon began there are to be recorded.
func (registry *Registry) SetServing(serving Releases, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.awaitAll(registry.services.set(serving, now))
	registry.services.prune(now)
}

// RecordAgain makes all streams of mixed services that this daemon began to be recorded: the store may have lost them.
func (registry *Registry) RecordAgain(now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var mixed []string
	for service := range registry.services {
		if len(registry.services.lately(service, now)) > 1 {
			mixed = append(mixed, service)
		}
	}
	registry.awaitAll(mixed)
}

// awaitAll adds all streams that this daemon began at the services to those to record. The mutex is held.
func (registry *Registry) awaitAll(services []string) {
	if len(services) == 0 {
		return
	}
	for _, next := range registry.order {
		known, ok := registry.streams[next.id]
		if ok && known.own && slices.Contains(services, known.Service) {
			registry.await(Stream{known.Origin, next.id}, known)
		}
	}
}

// LearnReleases adds releases that others saw. If a service has a second release from now on, all streams that this daemon began
// there are to be recorded.
func (registry *Registry) LearnReleases(seen Sightings, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.awaitAll(registry.services.learn(seen, now))
}

// Witness is LearnReleases for the release of a replica whose row this daemon read just now.
func (registry *Registry) Witness(began Origin, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.witness(began, now)
}

// witness is Witness. The mutex is held.
func (registry *Registry) witness(began Origin, now time.Time) {
	registry.awaitAll(registry.services.learn(Releases{began.Service: {began.Release}}.Sightings(), now))
	known := registry.services[began.Service][began.Release]
	known.witnessed = now
	registry.services.add(began.Service, began.Release, known)
}

// Sightings returns the releases that serve or did lately, for other daemons.
func (registry *Registry) Sightings(now time.Time) Sightings {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services.sightings(now)
}

// Witnessed returns the releases that serve or did lately, but for those known from others only. Only these are recorded: what is
// recorded has no time, and counts from when it is read.
func (registry *Registry) Witnessed(now time.Time) Releases {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services.witnessed(now)
}

// Serves reports whether the release serves, according to the last call of SetServing.
func (registry *Registry) Serves(began Origin) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services[began.Service][began.Release].serving
}

// Doubt records that a release which the registry does not know may have served, so that until the time no release is known as the
// only one.
func (registry *Registry) Doubt(until time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if until.After(registry.doubtUntil) {
		registry.doubtUntil = until
	}
}

// Knows reports whether the registry knows all releases that serve or did lately, as of the newest rows that were read.
func (registry *Registry) Knows(now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.knows(now)
}

// knows is Knows. The mutex is held.
func (registry *Registry) knows(now time.Time) bool {
	return registry.complete && !now.Before(registry.doubtUntil)
}

// Complete records that all recorded origins and releases were read.
func (registry *Registry) Complete() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.complete = true
}

// MarkIncomplete records that rows may have come and gone unseen, so that the recorded origins and releases must be read again.
func (registry *Registry) MarkIncomplete() {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.complete = false
	registry.gaps++
	notify(registry.lacking)
}

// Gaps returns how often the registry was marked as incomplete.
func (registry *Registry) Gaps() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.gaps
}

// CompleteAt is Complete, unless the registry was marked as incomplete since Gaps returned the number. It reports whether the registry is
// complete.
func (registry *Registry) CompleteAt(gaps int) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.complete = registry.complete || registry.gaps == gaps
	return registry.complete
}

// Lacking returns a channel that receives after the registry was marked as incomplete.
func (registry *Registry) Lacking() <-chan struct{} { return registry.lacking }

// IsComplete reports whether all recorded origins and releases were read.
func (registry *Registry) IsComplete() bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.complete
}

// Find returns the origin of the stream that the attempt began. It returns false if that is unknown, or if two were named.
func (registry *Registry) Find(id string, now time.Time) (Origin, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known, ok := registry.streams[id]
	if !ok || known.disputed || now.Sub(known.since) >= Retention {
		return Origin{}, false
	}
	return known.Origin, true
}

// Only returns the release that began all streams of the service that a client may take up, as of the newest rows that were read.
// It returns false if there may be several, before the registry is complete and while it is in doubt.
func (registry *Registry) Only(service string, now time.Time) (string, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	releases := registry.services.lately(service, now)
	if !registry.knows(now) || len(releases) != 1 {
		return "", false
	}
	return releases[0], true
}

// Lately returns the releases that serve or did lately.
func (registry *Registry) Lately(now time.Time) Releases {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.services.all(now)
}

// Mixed reports whether a service has, or lately had, more than one release.
func (registry *Registry) Mixed(now time.Time) bool {
	for _, releases := range registry.Lately(now) {
		if len(releases) > 1 {
			return true
		}
	}
	return false
}

// Wake returns a channel that receives when streams are to be recorded.
func (registry *Registry) Wake() <-chan struct{} { return registry.wake }

// Hurry returns a channel that receives when a stream that is to be recorded broke off.
func (registry *Registry) Hurry() <-chan struct{} { return registry.hurry }

// TakeUnrecorded returns the streams to record, which are not returned again.
func (registry *Registry) TakeUnrecorded() Batch {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	taken := registry.unrecorded
	registry.unrecorded = Batch{}
	for _, stream := range taken.Streams {
		if known, ok := registry.streams[stream.ID]; ok {
			known.waiting = false
		}
	}
	return taken
}

// Held returns the number of origins held.
func (registry *Registry) Held() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return len(registry.streams)
}

// Evicted returns how many origins were dropped for want of room.
func (registry *Registry) Evicted() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.evicted
}

func notify(channel chan struct{}) {
	select {
	case channel <- struct{}{}:
	default:
	}
}
