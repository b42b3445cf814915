package origin

import (
	"slices"
	"time"
)

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
