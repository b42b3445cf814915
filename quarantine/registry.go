package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// The bounds of a Registry.
const (
	// limit is the number of crashes from which a suspect is refused, unless the registry was given another one.
	limit = 2
	// Retention is how long a suspect is kept after its last crash.
	Retention = 10 * time.Minute
	// capacity is the maximum number of suspects.
	capacity = 4096
	// maxPartCrashes is the maximum number of crashes kept for a part of prompts. More than the limit are kept, since
	// the parts with the most crashes explain those of the others.
	maxPartCrashes = 16
	// maxOccasionCrashes is the number of them that are kept of one occasion if there are more.
	maxOccasionCrashes = 4
	// maxCleared is the maximum number of crashes kept for a suspect that no longer count against it for one reason.
	maxCleared = 32
	// evictionSample is the number of suspects of which the weakest is evicted from a full registry.
	evictionSample = 64
)

// Registry holds the suspects known to a daemon. It is safe for concurrent use. Use New.
type Registry struct {
	// limit is the number of crashes from which a suspect is refused. No more crashes are kept for a whole request.
	limit int
	mutex sync.Mutex
	// suspects maps fingerprints to suspects; it has at most capacity entries.
	suspects map[uint64]Suspect
	// shareQueue decides which suspects are shared next.
	shareQueue shareQueue
	// counts are len(suspects) and len(shareQueue.refused), to be read without the mutex.
	counts registryCounts
	// times holds when the crashes were seen.
	times crashTimes
	// evicted counts the suspects that were dropped because the registry was full.
	evicted int
}

// registryCounts are the sizes of a registry, which are mostly zero.
type registryCounts struct {
	suspects, refused atomic.Int64
}

// updateCounts updates the counts after a change. The mutex is held.
func (registry *Registry) updateCounts() {
	registry.counts.suspects.Store(int64(len(registry.suspects)))
	registry.counts.refused.Store(int64(len(registry.shareQueue.refused)))
}

// New returns an empty registry that refuses suspects with two crashes.
func New() *Registry {
	return NewWithLimit(limit)
}

// NewWithLimit returns an empty registry that refuses suspects with the given number of crashes, at least one.
func NewWithLimit(limit int) *Registry {
	return &Registry{limit: max(limit, 1), suspects: map[uint64]Suspect{}, times: crashTimes{}, shareQueue: shareQueue{shareCounts: map[uint64]int{}}}
}

// AddCrash records that a request with the fingerprint was in flight during the crash. It returns the updated
// suspect.
func (registry *Registry) AddCrash(fingerprint uint64, crash Crash, now time.Time) Suspect {
	return registry.Add(Cause{WholeRequest, fingerprint}, crash, CrashTime{At: now}, now)
}

// Add records that a request with the cause was in flight during the crash, which was seen as stated. It returns the updated
// suspect.
func (registry *Registry) Add(cause Cause, crash Crash, seen CrashTime, now time.Time) Suspect {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	return registry.merge(Suspect{
		Kind:        cause.Kind,
		Fingerprint: cause.Fingerprint,
		Crashes:     []Crash{crash},
		Times:       []CrashTime{seen},
		Until:       now.Add(Retention),
	}, now)
}

// Import merges suspects exported by another daemon. It returns those with a new crash.
func (registry *Registry) Import(suspects []Suspect, now time.Time) []Suspect {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	var changed []Suspect
	for _, suspect := range suspects {
		suspect.Until = earlier(suspect.Until, now.Add(Retention))
		known := len(registry.suspects[suspect.Fingerprint].Crashes)
		merged := registry.merge(suspect, now)
		if len(merged.Crashes) > known {
			changed = append(changed, merged)
		}
	}
	return changed
}

// Export returns the suspects that have not expired, those that expire first at the front.
func (registry *Registry) Export(now time.Time) []Suspect {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	registry.removeExpired(now)
	all := make([]Suspect, 0, len(registry.suspects))
	for _, suspect := range registry.suspects {
		all = append(all, suspect)
	}
	slices.SortFunc(all, func(a, b Suspect) int { return a.Until.Compare(b.Until) })
	return all
}

// CrashCount returns the number of crashes of the fingerprint and when it expires.
func (registry *Registry) CrashCount(fingerprint uint64, now time.Time) (int, time.Time) {
	suspect, _ := registry.Suspect(fingerprint, now)
	return len(suspect.Crashes), suspect.Until
}

// Suspect returns the suspect with the fingerprint, and false if there is none.
func (registry *Registry) Suspect(fingerprint uint64, now time.Time) (Suspect, bool) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	suspect, ok := registry.suspects[fingerprint]
	if !ok || !suspect.Until.After(now) {
		return Suspect{}, false
	}
	return registry.withTimes(suspect), true
}

// withTimes returns the suspect with the times of its crashes. The mutex is held.
func (registry *Registry) withTimes(suspect Suspect) Suspect {
	suspect.Times = make([]CrashTime, 0, len(suspect.Crashes))
	for _, crash := range suspect.Crashes {
		suspect.Times = append(suspect.Times, registry.times[crash])
	}
	return suspect
}

// CountRefused returns the number of refused suspects.
func (registry *Registry) CountRefused(now time.Time) int {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	count := 0
	for _, suspect := range registry.suspects {
		if registry.refused(suspect) && suspect.Until.After(now) {
			count++
		}
	}
	return count
}

// RefusedUntil returns the end of the refusal of the fingerprint, and false if it is not refused.
func (registry *Registry) RefusedUntil(fingerprint uint64, now time.Time) (time.Time, bool) {
	if registry.counts.refused.Load() == 0 {
		return time.Time{}, false
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	suspect, ok := registry.suspects[fingerprint]
	if !ok || !suspect.Until.After(now) {
		return time.Time{}, false
	}
	return suspect.Until, registry.refused(suspect)
}

// Refused reports whether a suspect with that many crashes is refused by a registry made by New.
func Refused(crashes int) bool {
	return crashes >= limit
}

// Clear removes a suspect whose request was answered in full, unless it is refused.
func (registry *Registry) Clear(fingerprint uint64) {
	if registry.counts.suspects.Load() == 0 {
		return
	}
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	if suspect, ok := registry.suspects[fingerprint]; ok && len(suspect.Crashes) < registry.limit {
		registry.drop(fingerprint)
	}
}

// DropCrash drops the crash from all suspects, because the upstream is still running the same boot and was
// only disconnected or paused.
func (registry *Registry) DropCrash(crash Crash) {
	registry.mutex.Lock()
	defer registry.mutex.Unlock()
	for fingerprint, suspect := range registry.suspects {
		at := slices.Index(suspect.Crashes, crash)
		if at < 0 {
			continue
		}
		if len(suspect.Crashes) == 1 {
			registry.drop(fingerprint)
			continue
		}
		suspect.Crashes = slices.Delete(slices.Clone(suspect.Crashes), at, at+1)
		registry.suspects[fingerprint] = suspect
	}
}

// merge adds the crashes of the suspect to those known. The mutex is held.
func (registry *Registry) merge(suspect Suspect, now time.Time) Suspect {
	if !suspect.Until.After(now) {
		return suspect
	}
	known := registry.suspects[suspect.Fingerprint]
	if !known.Until.After(now) {
		known = Suspect{Kind: suspect.Kind, Fingerprint: suspect.Fingerprint, grown: now}
	}
	for index, seen := range suspect.Times {
		registry.times.observe(suspect.Crashes[index], seen, now)
	}
	merged := registry.union(known, suspect)
	if len(merged.Crashes) > len(known.Crashes) {
		merged.grown = now
	}
	if !merged.SameCounts(&known) {
		registry.shareQueue.enqueue(merged.Fingerprint, registry.weight(merged.Kind, merged.Crashes), registry.limit)
	}
	if _, ok := registry.suspects[merged.Fingerprint]; !ok {
		registry.makeRoom(now)
	}
	registry.suspects[merged.Fingerprint] = merged
	registry.updateCounts()
	return merged
}

// union returns the first suspect with the crashes of both and the later expiry.
func (registry *Registry) union(a, b Suspect) Suspect {
	a.Cleared = appendDistinct(slices.Clone(a.Cleared), b.Cleared, nil, maxCleared)
	a.Retracted = appendDistinct(slices.Clone(a.Retracted), b.Retracted, nil, maxCleared)
	all := len(a.Crashes) + len(b.Crashes)
	excluded := slices.Concat(a.Cleared, a.Retracted)
	crashes := appendDistinct(nil, a.Crashes, excluded, all)
	crashes = appendDistinct(crashes, b.Crashes, excluded, all)
	a.Crashes = registry.selectCrashes(a.Kind, crashes)
	if b.Until.After(a.Until) {
		a.Until = b.Until
	}
	return a
}

// selectCrashes returns the crashes that are kept for a suspect of the kind: the first ones of a whole request, at most the
// limit, and for a part of prompts some of each occasion.
func (registry *Registry) selectCrashes(kind Kind, crashes []Crash) []Crash {
	if kind != PromptPart {
		return crashes[:min(len(crashes), registry.limit)]
	}
	maximum := max(maxPartCrashes, registry.limit)
	if len(crashes) <= maximum {
		return crashes
	}
	kept := registry.times.thin(crashes, maxOccasionCrashes)
	return kept[max(len(kept)-maximum, 0):]
}

// appendDistinct appends the crashes that are neither in the list nor in the excluded ones, while the list has fewer than
// the maximum.
func appendDistinct(list, crashes, excluded []Crash, maximum int) []Crash {
	for _, crash := range crashes {
		if len(list) < maximum && !slices.Contains(list, crash) && !slices.Contains(excluded, crash) {
			list = append(list, crash)
		}
	}
	return list
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
