package origin

import (
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
	// listed holds the releases of services that the inventory in the store names, as far as is known.
	listed map[Origin]bool
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
// If the stream is to be recorded, Begin returns a channel that is closed once it is; otherwise it returns nil. A stream need not be
// recorded if its release is the only one and in the inventory: then that names its origin to daemons that start after all others ended.
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
	if registry.listed[stream.Origin] && len(registry.services.lately(stream.Service, now)) < 2 {
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

// Broke records that the stream ended before its client had all of it, so that the client may take it up.
func (registry *Registry) Broke(id string) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if known, ok := registry.streams[id]; ok && known.waiting {
		notify(registry.hurry)
	}
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

// Age returns how long the origin of the stream that the attempt began has been known; zero if it is not.
func (registry *Registry) Age(id string, now time.Time) time.Duration {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	known, ok := registry.streams[id]
	if !ok {
		return 0
	}
	return now.Sub(known.since)
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
