package quarantine

import (
	"slices"
	"time"
)

// refused reports whether requests with the suspect are refused: at least as many of its crashes as the limit have no other
// explanation. The mutex is held.
func (registry *Registry) refused(suspect Suspect) bool {
	return len(suspect.Crashes) >= registry.limit && registry.unexplained(&suspect) >= registry.limit
}

// unexplained returns the number of crashes of the suspect during which no stronger part of prompts was in flight. The
// mutex is held.
func (registry *Registry) unexplained(suspect *Suspect) int {
	crashes := suspect.Crashes
	if suspect.Kind != PromptPart {
		return len(crashes)
	}
	for _, fingerprint := range registry.shareQueue.refused {
		other := registry.suspects[fingerprint]
		if other.Kind == PromptPart && other.stronger(suspect) {
			crashes = appendDistinct(nil, crashes, other.Crashes, len(crashes))
		}
	}
	return len(crashes)
}

// ambiguous reports whether another suspect was in flight during the same crashes, so that counting cannot tell which of
// them causes the crashes. The mutex is held.
func (registry *Registry) ambiguous(suspect *Suspect) bool {
	return slices.ContainsFunc(registry.shareQueue.refused, func(fingerprint uint64) bool {
		other := registry.suspects[fingerprint]
		return fingerprint != suspect.Fingerprint && suspect.covered(&other)
	})
}

// Offset records a full response to a request with the part: it offsets the first crash that counts against the part, or
// all of them. It returns the suspect, and whether it was refused before and no longer is.
func (registry *Registry) Offset(part uint64, all bool, now time.Time) (Suspect, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	suspect, ok := registry.suspects[part]
	if !ok || len(suspect.Crashes) == 0 || !suspect.Until.After(now) {
		return Suspect{}, false
	}
	before := registry.refused(suspect)
	count := 1
	if all {
		count = len(suspect.Crashes)
	}
	cleared := suspect
	cleared.Cleared = append(slices.Clone(suspect.Cleared), suspect.Crashes[:count]...)
	cleared.Cleared = cleared.Cleared[max(len(cleared.Cleared)-maxCleared, 0):]
	cleared.Crashes = slices.Clone(suspect.Crashes[count:])
	registry.suspects[part] = cleared
	registry.shareQueue.enqueue(part, len(cleared.Crashes), registry.limit)
	return cleared, before && !registry.refused(cleared)
}

// Evicted returns the number of suspects that were dropped because the registry was full.
func (registry *Registry) Evicted() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.evicted
}
