package origin

import (
	"time"
)

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

// CompleteAt records that all recorded origins and releases were read, unless the registry was marked as incomplete since Gaps returned
// the number. It reports whether the registry is complete.
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
