package quarantine

import "slices"

// withSequence returns the crash with its sequence number among those that this daemon counted for the same
// incarnation. A restarted replica counts as its former incarnation until its new row arrives. The mutex is held.
func (tracker *Tracker) withSequence(fingerprint uint64, crash Crash) Crash {
	own, known := tracker.ownCrashes[fingerprint]
	if !known && len(tracker.ownCrashes) >= capacity {
		tracker.forgetOwnCrashes()
	}
	for index := range own {
		if own[index].Upstream == crash.Upstream && own[index].BootID == crash.BootID {
			own[index].Sequence++
			return own[index]
		}
	}
	if len(own) < maxOwnCrashes {
		tracker.ownCrashes[fingerprint] = append(own, crash)
	}
	return crash
}

// forgetOwnCrashes makes room for the crashes of another request: it forgets one that crashed no incarnation twice, if there is one
// among some. The mutex is held.
func (tracker *Tracker) forgetOwnCrashes() {
	var forgotten uint64
	sampled := 0
	for fingerprint, own := range tracker.ownCrashes {
		forgotten = fingerprint
		sampled++
		repeated := slices.ContainsFunc(own, func(crash Crash) bool { return crash.Sequence > 0 })
		if !repeated || sampled == evictionSample {
			break
		}
	}
	delete(tracker.ownCrashes, forgotten)
}
