package notice

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// maxIncarnations bounds the number of incarnations in each table of a Registry.
const maxIncarnations = 4096

// maxUnknown bounds the number of unknown headers that are kept: faulty replicas may send any name.
const maxUnknown = 64

// Registry holds the notices of replicas by incarnation. It is safe for concurrent use. Use New.
type Registry struct {
	mutex sync.Mutex
	// leaving maps leaving incarnations to the time at which the first notice arrived.
	leaving map[topology.Incarnation]time.Time
	// latest maps the IDs of leaving incarnations to the start of the one that started last.
	latest map[string]int64
	// backoffs maps incarnations to the end of their backoff.
	backoffs map[topology.Incarnation]time.Time
	// malformed holds the headers, by incarnation, that could not be decoded as a notice.
	malformed map[malformedHeader]bool
	// unknown holds the headers without a known meaning; at most maxUnknown.
	unknown map[string]bool
}

// malformedHeader identifies a header of the responses of one incarnation.
type malformedHeader struct {
	topology.Incarnation
	name string
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		leaving:   map[topology.Incarnation]time.Time{},
		latest:    map[string]int64{},
		backoffs:  map[topology.Incarnation]time.Time{},
		malformed: map[malformedHeader]bool{},
		unknown:   map[string]bool{},
	}
}

// MarkLeaving records that the incarnation accepts no new requests, and reports whether that is new. If the table is
// full, the oldest entry is evicted.
func (registry *Registry) MarkLeaving(incarnation topology.Incarnation, now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if _, known := registry.leaving[incarnation]; known {
		return false
	}
	if len(registry.leaving) >= maxIncarnations {
		registry.forget(earliest(registry.leaving))
	}
	registry.leaving[incarnation] = now
	registry.latest[incarnation.ID] = max(registry.latest[incarnation.ID], incarnation.Started)
	return true
}

// forget drops a leaving incarnation. The mutex is held.
func (registry *Registry) forget(incarnation topology.Incarnation) {
	delete(registry.leaving, incarnation)
	if registry.latest[incarnation.ID] == incarnation.Started {
		delete(registry.latest, incarnation.ID)
	}
}

// leaves reports whether the incarnation leaves, or a later one of the same ID does: the earlier has ended then, and what is sent to it
// reaches the later. The mutex is held.
func (registry *Registry) leaves(incarnation topology.Incarnation) bool {
	_, leaving := registry.leaving[incarnation]
	return leaving || incarnation.Started < registry.latest[incarnation.ID]
}

// SetBackoff records that the incarnation asks for no requests until the given time, but at most MaxBackoff from now.
// It reports whether the backoff is longer than the recorded one. If the table is full, expired entries are evicted,
// or else the one that ends first.
func (registry *Registry) SetBackoff(incarnation topology.Incarnation, until, now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if longest := now.Add(MaxBackoff); until.After(longest) {
		until = longest
	}
	if !until.After(registry.backoffs[incarnation]) || !until.After(now) {
		return false
	}
	if len(registry.backoffs) >= maxIncarnations {
		maps.DeleteFunc(registry.backoffs, func(_ topology.Incarnation, until time.Time) bool { return !until.After(now) })
	}
	if len(registry.backoffs) >= maxIncarnations {
		delete(registry.backoffs, earliest(registry.backoffs))
	}
	registry.backoffs[incarnation] = until
	return true
}

// MarkMalformed records that a header of the incarnation could not be decoded as a notice, and reports whether it is the
// first time for this header.
func (registry *Registry) MarkMalformed(incarnation topology.Incarnation, header string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	key := malformedHeader{incarnation, header}
	if registry.malformed[key] {
		return false
	}
	if len(registry.malformed) >= maxIncarnations {
		clear(registry.malformed)
	}
	registry.malformed[key] = true
	return true
}

// MarkUnknown records a header without a known meaning, and reports whether it is the first time. Beyond maxUnknown
// headers it reports false.
func (registry *Registry) MarkUnknown(header string) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if registry.unknown[header] || len(registry.unknown) >= maxUnknown {
		return false
	}
	registry.unknown[header] = true
	return true
}

// Leaving reports whether the incarnation leaves, or a later one of the same ID does. A store that came back from an older copy names
// the earlier one.
func (registry *Registry) Leaving(incarnation topology.Incarnation) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.leaves(incarnation)
}

// BackoffUntil returns the end of the last backoff of the incarnation, and whether that is in the future.
func (registry *Registry) BackoffUntil(incarnation topology.Incarnation, now time.Time) (time.Time, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	until := registry.backoffs[incarnation]
	return until, until.After(now)
}

// Accepts reports whether the incarnation may be sent a new request.
func (registry *Registry) Accepts(incarnation topology.Incarnation, now time.Time) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return !registry.leaves(incarnation) && !registry.backoffs[incarnation].After(now)
}

// LatestLeaving returns at most limit leaving incarnations, the most recently recorded first.
func (registry *Registry) LatestLeaving(limit int) []topology.Incarnation {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	incarnations := slices.SortedFunc(maps.Keys(registry.leaving), func(a, b topology.Incarnation) int {
		return cmp.Or(registry.leaving[b].Compare(registry.leaving[a]), cmp.Compare(a.ID, b.ID))
	})
	return incarnations[:min(len(incarnations), limit)]
}

// Counts returns the number of leaving incarnations and of those in backoff.
func (registry *Registry) Counts(now time.Time) (leaving, inBackoff int) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for _, until := range registry.backoffs {
		if until.After(now) {
			inBackoff++
		}
	}
	return len(registry.leaving), inBackoff
}

// Prune drops expired backoffs, leaving incarnations that are not live and were recorded before the given time, and
// malformed notices of incarnations that are not live.
func (registry *Registry) Prune(live map[topology.Incarnation]bool, before, now time.Time) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for key, marked := range registry.leaving {
		if !live[key] && marked.Before(before) {
			registry.forget(key)
		}
	}
	maps.DeleteFunc(registry.backoffs, func(_ topology.Incarnation, until time.Time) bool { return !until.After(now) })
	maps.DeleteFunc(registry.malformed, func(key malformedHeader, _ bool) bool { return !live[key.Incarnation] })
}

// earliest returns the incarnation with the earliest time.
func earliest(times map[topology.Incarnation]time.Time) topology.Incarnation {
	var first topology.Incarnation
	found := false
	for incarnation, at := range times {
		if !found || at.Before(times[first]) {
			first, found = incarnation, true
		}
	}
	return first
}
