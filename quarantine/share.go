package quarantine

import (
	"slices"
	"time"
)

// sharesPerChange is how often a daemon shares a suspect that is not refused after each change. If each daemon
// that learns of it shares it so often, it reaches all but a few daemons.
const sharesPerChange = 8

// shareQueue decides which suspects are shared with other daemons next: refused ones repeatedly, others a limited
// number of times after each change.
type shareQueue struct {
	// refused holds the fingerprints of refused suspects, and changed those of others, at most capacity. Both are
	// queues; they may contain suspects that have been removed since.
	refused, changed []uint64
	// urgent holds those of the fingerprints in changed, at most capacity, whose weight was above one when they were
	// queued. They are shared first.
	urgent []uint64
	// shareCounts maps the fingerprints in changed to the number of times each was shared since its last change.
	shareCounts map[uint64]int
}

// enqueue adds a suspect that changed, with its weight and the weight from which suspects are refused.
func (queue *shareQueue) enqueue(fingerprint uint64, weight, limit int) {
	isRefused := slices.Contains(queue.refused, fingerprint)
	if weight >= limit {
		if !isRefused {
			queue.refused = append(queue.refused, fingerprint)
		}
		return
	}
	if isRefused {
		queue.removeRefused(fingerprint)
	}
	if _, queued := queue.shareCounts[fingerprint]; !queued {
		queue.makeRoom()
		queue.changed = append(queue.changed, fingerprint)
	}
	queue.shareCounts[fingerprint] = 0
	if weight > 1 && len(queue.urgent) < capacity {
		queue.urgent = append(queue.urgent, fingerprint)
	}
}

// removeRefused removes a suspect from those that are shared repeatedly.
func (queue *shareQueue) removeRefused(fingerprint uint64) {
	queue.refused = slices.DeleteFunc(queue.refused, func(known uint64) bool { return known == fingerprint })
}

// nextUrgent returns the first urgent suspect and removes it from the queue of these.
func (queue *shareQueue) nextUrgent() uint64 {
	fingerprint := queue.urgent[0]
	queue.urgent = queue.urgent[1:]
	return fingerprint
}

// makeRoom removes the oldest entry of changed if it is full.
func (queue *shareQueue) makeRoom() {
	if len(queue.changed) >= capacity {
		delete(queue.shareCounts, queue.changed[0])
		queue.changed = queue.changed[1:]
	}
}

// nextRefused returns the first refused suspect and moves it to the end of the queue.
func (queue *shareQueue) nextRefused() uint64 {
	fingerprint := queue.refused[0]
	queue.refused = append(queue.refused[1:], fingerprint)
	return fingerprint
}

// nextChanged returns the first changed suspect and requeues it until it was shared often enough.
func (queue *shareQueue) nextChanged() uint64 {
	fingerprint := queue.changed[0]
	queue.changed = queue.changed[1:]
	queue.shareCounts[fingerprint]++
	if queue.shareCounts[fingerprint] < sharesPerChange {
		queue.changed = append(queue.changed, fingerprint)
	} else {
		delete(queue.shareCounts, fingerprint)
	}
	return fingerprint
}

// Share returns suspects to send to another daemon, at most maximum, which must be at least one. Refused suspects
// are shared in turn, so that a daemon that was disconnected or has just started learns of them. At least a
// quarter of the number is left for suspects that changed, those with several crashes first. The cost does not grow with
// the number of suspects.
func (registry *Registry) Share(maximum int, now time.Time) []Suspect {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var shared []Suspect
	for range min(len(registry.shareQueue.refused), maximum-maximum/4) {
		shared = registry.appendKnown(shared, registry.shareQueue.nextRefused(), now)
	}
	for range min(len(registry.shareQueue.urgent), max(maximum-len(shared), 0)) {
		shared = registry.appendKnown(shared, registry.shareQueue.nextUrgent(), now)
	}
	for range min(len(registry.shareQueue.changed), max(maximum-len(shared), 0)) {
		shared = registry.appendKnown(shared, registry.shareQueue.nextChanged(), now)
	}
	return shared
}

// appendKnown appends the suspect unless it has expired. The mutex is held.
func (registry *Registry) appendKnown(shared []Suspect, fingerprint uint64, now time.Time) []Suspect {
	suspect, known := registry.suspects[fingerprint]
	if !known || !suspect.Until.After(now) {
		registry.drop(fingerprint)
		return shared
	}
	return append(shared, registry.withTimes(suspect))
}
