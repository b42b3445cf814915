package quarantine

import (
	"slices"
	"time"
)

// weight returns how much the crashes say against a suspect of the kind: their number, or for parts of prompts that of their
// occasions. The mutex is held.
func (registry *Registry) weight(kind Kind, crashes []Crash) int {
	if kind != PromptPart {
		return len(crashes)
	}
	return registry.times.occasions(crashes)
}

// heavy reports whether the crashes of the suspect weigh as much as the limit, whatever else explains them.
func (registry *Registry) heavy(suspect Suspect) bool {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.weight(suspect.Kind, suspect.Crashes) >= registry.limit
}

// refused reports whether requests with the suspect are refused: those of its crashes that have no other explanation weigh
// as much as the limit. The mutex is held.
func (registry *Registry) refused(suspect Suspect) bool {
	return len(suspect.Crashes) >= registry.limit && registry.weight(suspect.Kind, registry.unexplained(&suspect)) >= registry.limit
}

// unexplained returns the crashes of the suspect during which no stronger part of prompts was in flight. The mutex is held.
func (registry *Registry) unexplained(suspect *Suspect) []Crash {
	crashes := suspect.Crashes
	if suspect.Kind != PromptPart {
		return crashes
	}
	for _, fingerprint := range registry.shareQueue.refused {
		other := registry.suspects[fingerprint]
		if other.Kind == PromptPart && other.stronger(suspect) {
			crashes = appendDistinct(nil, crashes, other.Crashes, len(crashes))
		}
	}
	return crashes
}

// ambiguous reports whether another suspect was in flight during the same crashes, so that counting cannot tell which of
// them causes the crashes. The mutex is held.
func (registry *Registry) ambiguous(suspect *Suspect) bool {
	return slices.ContainsFunc(registry.shareQueue.refused, func(fingerprint uint64) bool {
		other := registry.suspects[fingerprint]
		return fingerprint != suspect.Fingerprint && suspect.covered(&other)
	})
}

// Offset records a full response to a request with the part: it offsets the crashes of the first occasion that count against
// the part, or all of them. It returns the suspect, and whether it was refused before and no longer is.
func (registry *Registry) Offset(part uint64, all bool, now time.Time) (Suspect, bool) {
	if registry.counts.suspects.Load() == 0 {
		return Suspect{}, false
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	suspect, ok := registry.suspects[part]
	if !ok || len(suspect.Crashes) == 0 || !suspect.Until.After(now) {
		return Suspect{}, false
	}
	before := registry.refused(suspect)
	offset, kept := registry.times.oldestOccasion(suspect.Crashes)
	if all {
		offset, kept = suspect.Crashes, nil
	}
	cleared := suspect
	cleared.Cleared = appendCleared(suspect.Cleared, offset)
	cleared.Crashes = kept
	registry.update(cleared)
	return cleared, before && !registry.refused(cleared)
}

// Evicted returns the number of suspects that were dropped because the registry was full.
func (registry *Registry) Evicted() int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.evicted
}
