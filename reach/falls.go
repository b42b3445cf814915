package reach

import "time"

// episode is a period in which no path counted as sound, since several were suspected.
type episode struct {
	// from and to are its begin and end; to is zero while it lasts.
	from, to time.Time
	// swallowed is the number of paths that fell by attempts of the period, or in it.
	swallowed int
}

// holds reports whether the time is in the period.
func (episode *episode) holds(at time.Time) bool {
	return !episode.from.IsZero() && !at.Before(episode.from) && (episode.to.IsZero() || !at.After(episode.to))
}

// endSuspicion ends the period in which no path counted as sound, if there is one.
func (paths *Paths) endSuspicion(now time.Time) {
	if paths.allSuspected {
		paths.allSuspected = false
		paths.suspicion.to = now
	}
}

// recordFall records that the path fell: it swallowed an attempt that began at the time. If several did in a period in which no path
// counted as sound, all paths fell, also those that no attempt met.
func (paths *Paths) recordFall(key string, known *path, begun, now time.Time) {
	if !known.damping.fell.Before(begun) {
		return
	}
	if !known.damping.isUnsteady(now) {
		paths.becameUnsteady = append(paths.becameUnsteady, key)
	}
	known.damping = known.damping.withFall(now)
	paths.damping = paths.damping.withDoubt(now)
	paths.unsteady.Store(true)
	if !paths.allSuspected && !paths.suspicion.holds(begun) {
		return
	}
	paths.suspicion.swallowed++
	if paths.suspicion.swallowed == min(minLost, len(paths.replicas)) {
		paths.allBecameUnsteady = paths.allBecameUnsteady || !paths.damping.isUnsteady(now)
		paths.damping = paths.damping.withFall(now)
	}
}

// observeSteadiness lets doubts prolong the time in which paths must be proved, and keeps whether any path is unsteady.
func (paths *Paths) observeSteadiness(now time.Time) {
	if !paths.unsteady.Load() {
		return
	}
	if paths.allSuspected || paths.cutOff {
		paths.damping = paths.damping.withDoubt(now)
	}
	unsteady := paths.damping.isUnsteady(now)
	for _, known := range paths.replicas {
		if known.isDoubted() {
			known.damping = known.damping.withDoubt(now)
		}
		unsteady = unsteady || known.damping.isUnsteady(now)
	}
	paths.unsteady.Store(unsteady)
}

// isUnsteady reports whether the path, or all paths, fell and have not been proved for long enough since.
func (paths *Paths) isUnsteady(known *path, now time.Time) bool {
	return paths.damping.isUnsteady(now) || known.damping.isUnsteady(now)
}
