package quarantine

import (
	"slices"
	"time"
)

// lifeDelay is the time after a break from which a response over an older connection shows that the replica lives: until then, it
// may have been on its way already.
const lifeDelay = time.Second

// Lives records that the replica completed a response now over a connection that was in use at the time since. If it broke another
// connection in between, and at least lifeDelay ago, it did not crash: a crash ends all connections. The crashes no longer count, here
// and at the daemons that hear of it. It returns the suspects that were refused and no longer are.
func (tracker *Tracker) Lives(crash Crash, since, now time.Time) []Suspect {
	if tracker.breakCount.Load() == 0 {
		return nil
	}
	tracker.mutex.Lock()
	defer tracker.mutex.Unlock()
	last, broke := tracker.breaks[crash]
	if !broke || last.Before(since) || now.Sub(last) < lifeDelay {
		return nil
	}
	released := tracker.registry.Retract(crash, since, now.Add(-lifeDelay))
	for _, suspect := range released {
		tracker.addUnrecorded(suspect)
	}
	return released
}

// markBreak records that the replica broke a connection. The mutex is held.
func (tracker *Tracker) markBreak(crash Crash, now time.Time) {
	for known, at := range tracker.breaks {
		if now.Sub(at) >= unansweredWindow {
			delete(tracker.breaks, known)
		}
	}
	if _, known := tracker.breaks[crash]; known || len(tracker.breaks) < maxUnansweredReplicas {
		tracker.breaks[crash] = now
	}
	tracker.breakCount.Store(int64(len(tracker.breaks)))
}

// Retract retracts the crashes of the incarnation, whatever their sequence, that were seen after since and not after until. It returns
// the suspects that were refused and no longer are.
func (registry *Registry) Retract(incarnation Crash, since, until time.Time) []Suspect {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var released []Suspect
	for _, suspect := range registry.suspects {
		retracted, kept := registry.divide(suspect.Crashes, incarnation, since, until)
		if len(retracted) == 0 {
			continue
		}
		before := registry.refused(suspect)
		suspect.Crashes = kept
		suspect.Retracted = appendCleared(suspect.Retracted, retracted)
		registry.update(suspect)
		if before && !registry.refused(suspect) {
			released = append(released, suspect)
		}
	}
	return released
}

// divide returns the crashes of the incarnation in the span, and the others. The mutex is held.
func (registry *Registry) divide(crashes []Crash, incarnation Crash, since, until time.Time) (in, others []Crash) {
	for _, crash := range crashes {
		at := registry.times[crash].At
		if crash.Upstream == incarnation.Upstream && crash.BootID == incarnation.BootID && at.After(since) && !at.After(until) {
			in = append(in, crash)
		} else {
			others = append(others, crash)
		}
	}
	return in, others
}

// update replaces a suspect whose crashes were cleared, and shares it again. The mutex is held.
func (registry *Registry) update(suspect Suspect) {
	registry.suspects[suspect.Fingerprint] = suspect
	registry.shareQueue.enqueue(suspect.Fingerprint, registry.weight(suspect.Kind, suspect.Crashes), registry.limit)
	registry.updateCounts()
}

// appendCleared appends the crashes to those that no longer count, of which the latest are kept.
func appendCleared(cleared, more []Crash) []Crash {
	cleared = append(slices.Clone(cleared), more...)
	return cleared[max(len(cleared)-maxCleared, 0):]
}
