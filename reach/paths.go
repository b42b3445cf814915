package reach

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minLost is the number of replicas, or all if there are fewer, that must have become unreachable, with none reached since,
	// for the daemon to count as cut off.
	minLost = 2
	// lossExpiry is how long a failure to reach a replica counts.
	lossExpiry = 5 * time.Second
	// minSuspectAfter is the time without any byte of a replica after which an attempt makes the path suspected. It is half as long
	// again as attempts took lately, up to maxSuspectAfter, since probes are priced and long prompts take time.
	minSuspectAfter = 400 * time.Millisecond
	maxSuspectAfter = time.Second
	// usualDecay is the number of attempts over which the longest time of one is forgotten.
	usualDecay = 32
	// weakSpan is the least time between the first and the last of several resets, or late timeouts, that show that a path is lost. A replica that has
	// too many connections resets new ones and answers on others meanwhile.
	weakSpan = 100 * time.Millisecond
	// longestPause is the time for which a path stays suspected. Sound replicas pause for 2 s at most.
	longestPause = 2500 * time.Millisecond
	// answerTime is the time within which a sound path yields the answer to a probe, which waits for a slot at replicas without models.
	// Another daemon must have had an answer later than that after the probe began, and graceTime ago, for the path to count as cut:
	// at the end of a pause, all answers come at once.
	answerTime = 800 * time.Millisecond
	graceTime  = 100 * time.Millisecond
)

// Paths holds what one daemon knows of its path to each replica. It is safe for concurrent use. Use New.
type Paths struct {
	mutex sync.Mutex
	// replicas maps the keys of replicas to what is known of the path.
	replicas map[string]*path
	// sorted lists the keys in order; nil if they changed.
	sorted []string
	// lost is the number of paths that were found lost and not proved since, and doubted that of those that were suspected or lost.
	lost, doubted atomic.Int64
	// reached is when any replica was last reached.
	reached time.Time
	// allSuspected is set while no path counts as sound, since several are suspected and no replica was reached since.
	allSuspected bool
	// found lists the replicas whose paths were found lost since the last step.
	found []string
	// cutOff is set while the daemon counts as cut off, since cutSince.
	cutOff   bool
	cutSince time.Time
}

// New returns paths of which nothing is known.
func New() *Paths {
	return &Paths{replicas: map[string]*path{}}
}

// Began records that an attempt began to wait for a response of a replica.
func (paths *Paths) Began(key string, begun time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.get(key)
	known.awaited = append(known.awaited, begun)
}

// Ended records that an attempt that began at the time waits no more. It does nothing if a byte came meanwhile.
func (paths *Paths) Ended(key string, begun, now time.Time) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.update(key, func(known *path) { known.endAttempt(begun, now) })
}

// Reached records a proof of the path to a replica: a byte of a response arrived.
func (paths *Paths) Reached(key string, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	paths.update(key, func(known *path) { known.prove(now) })
	paths.reached = now
	paths.allSuspected = false
	if !paths.cutOff {
		return Unchanged
	}
	paths.cutOff = false
	paths.probeSoon(now)
	return Back
}

// Failed records that an attempt to reach a replica failed. begun is when it began: it says nothing if the replica was reached
// since.
func (paths *Paths) Failed(key string, failure Failure, begun, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.fail(key, failure, begun, now)
}

// fail is Failed with the mutex held.
func (paths *Paths) fail(key string, failure Failure, begun, now time.Time) Change {
	if paths.get(key).proved.After(begun) {
		return Unchanged
	}
	paths.update(key, func(known *path) {
		if known.fail(failure, begun, now) {
			known.lose(begun, now)
		}
	})
	return paths.conclude(now)
}

// Vouched records that another daemon had an answer of the replica at the time. Times after now are ignored.
func (paths *Paths) Vouched(key string, at, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.replicas[key]
	if !ok || at.After(now) || !at.After(known.vouched) {
		return Unchanged
	}
	known.vouched = at
	paths.observe(key, now)
	return paths.conclude(now)
}

// observe concludes from the silence of a replica.
func (paths *Paths) observe(key string, now time.Time) {
	paths.update(key, func(known *path) {
		known.observeSilence(now)
		if known.isCut(now) {
			known.failure = Silent
			known.suspect(known.probeBegun, now)
			known.lose(known.probeBegun, now)
		}
	})
}

// conclude concludes whether the daemon is cut off: all paths are lost, or several were lost and no replica was reached since.
func (paths *Paths) conclude(now time.Time) Change {
	if paths.cutOff || paths.lost.Load() == 0 {
		return Unchanged
	}
	lost, since := 0, 0
	for _, known := range paths.replicas {
		if !known.isLost(now) {
			continue
		}
		lost++
		if paths.countsAsCut(known, now) {
			since++
		}
	}
	if lost < len(paths.replicas) && since < minLost {
		return Unchanged
	}
	paths.cutOff, paths.cutSince = true, now
	return CutOff
}

// countsAsCut reports whether the path was lost since any replica was reached. Replicas that yield nothing or reset connections may be
// few, so that the others have answerTime to answer.
func (paths *Paths) countsAsCut(known *path, now time.Time) bool {
	if !known.lostBegun.After(paths.reached) {
		return false
	}
	return !known.failure.swallows() || now.Sub(paths.reached) >= answerTime
}

// observeSuspicion concludes whether all paths are suspected: several are, and no replica was reached since their attempts began.
func (paths *Paths) observeSuspicion() {
	suspected := 0
	for _, known := range paths.replicas {
		if known.suspectedBegun.After(paths.reached) {
			suspected++
		}
	}
	paths.allSuspected = suspected >= min(minLost, len(paths.replicas)) && suspected > 0
}

// get returns what is known of the path, which it adds if it is unknown.
func (paths *Paths) get(key string) *path {
	known, ok := paths.replicas[key]
	if !ok {
		known = &path{}
		paths.replicas[key] = known
		paths.sorted = nil
	}
	return known
}

// update applies the change to the path and keeps the counts.
func (paths *Paths) update(key string, apply func(known *path)) {
	known := paths.get(key)
	wasLost := !known.lost.IsZero()
	paths.count(known, -1)
	apply(known)
	paths.count(known, 1)
	if !wasLost && !known.lost.IsZero() {
		paths.found = append(paths.found, key)
	}
}

// count adds the path to the counts, or takes it out.
func (paths *Paths) count(known *path, sign int64) {
	if !known.lost.IsZero() {
		paths.lost.Add(sign)
	}
	if known.isDoubted() {
		paths.doubted.Add(sign)
	}
}

// State returns the state of the path to the replica.
func (paths *Paths) State(key string, now time.Time) State {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	state := Sound
	if known, ok := paths.replicas[key]; ok {
		state = known.state(now)
	}
	if state == Sound && paths.allSuspected {
		return Suspected
	}
	return state
}

// Known returns what is known of the path to the replica.
func (paths *Paths) Known(key string, now time.Time) Knowledge {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known, ok := paths.replicas[key]
	if !ok {
		return Knowledge{}
	}
	return Knowledge{State: known.state(now), Proved: known.proved, Failure: known.failure, FailedSince: known.failedSince}
}

// IsCutOff reports whether the daemon reaches no replica, and since when.
func (paths *Paths) IsCutOff() (time.Time, bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.cutSince, paths.cutOff
}

// LostCount returns the number of replicas that were found lost and not reached since. It is cheap.
func (paths *Paths) LostCount() int {
	return int(paths.lost.Load())
}

// AnyDoubted reports whether any path is suspected, or was found lost and not proved since. It is cheap.
func (paths *Paths) AnyDoubted() bool {
	return paths.doubted.Load() > 0
}

// Keep drops the paths to replicas that are not among the given ones.
func (paths *Paths) Keep(keys map[string]bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	for key, known := range paths.replicas {
		if !keys[key] {
			paths.count(known, -1)
			delete(paths.replicas, key)
			paths.sorted = nil
		}
	}
}
