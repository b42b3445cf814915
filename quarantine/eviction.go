package quarantine

import "time"

// makeRoom evicts one suspect if the registry is full: among some of them, one of those with the fewest crashes, the first
// to expire. The mutex is held.
func (registry *Registry) makeRoom(now time.Time) {
	if len(registry.suspects) < capacity {
		return
	}
	var weakest Suspect
	sampled := 0
	for fingerprint, suspect := range registry.suspects {
		if !suspect.Until.After(now) {
			registry.drop(fingerprint)
			return
		}
		if sampled == 0 || weaker(suspect, weakest) {
			weakest = suspect
		}
		if sampled++; sampled == evictionSample {
			break
		}
	}
	registry.drop(weakest.Fingerprint)
	registry.evicted++
}

// drop removes a suspect. The mutex is held.
func (registry *Registry) drop(fingerprint uint64) {
	delete(registry.suspects, fingerprint)
	registry.shareQueue.removeRefused(fingerprint)
	registry.updateCounts()
}

// weaker reports whether a is evicted before b.
func weaker(a, b Suspect) bool {
	if len(a.Crashes) != len(b.Crashes) {
		return len(a.Crashes) < len(b.Crashes)
	}
	return a.Until.Before(b.Until)
}

// removeExpired removes expired suspects. The mutex is held.
func (registry *Registry) removeExpired(now time.Time) {
	for fingerprint, suspect := range registry.suspects {
		if !suspect.Until.After(now) {
			registry.drop(fingerprint)
		}
	}
}
