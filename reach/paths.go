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
)

// Paths holds when one daemon last reached each replica, and last failed to. It is safe for concurrent use. Use New.
type Paths struct {
	mutex sync.Mutex
	// replicas maps the keys of replicas to what is known of the path.
	replicas map[string]path
	// lost is the number of replicas whose last attempt to be reached failed.
	lost atomic.Int64
	// reached is when any replica was last reached.
	reached time.Time
	// cutOff is set while the daemon counts as cut off, since cutSince.
	cutOff   bool
	cutSince time.Time
}

// path is what is known of the path to one replica.
type path struct {
	reached, lost time.Time
}

// New returns paths of which nothing is known.
func New() *Paths {
	return &Paths{replicas: map[string]path{}}
}

// Change is how an observation changed what the daemon concludes about itself.
type Change int

// The changes.
const (
	Unchanged Change = iota
	// CutOff means that the daemon reaches no replica from now on.
	CutOff
	// Back means that it reaches one again.
	Back
)

// Reached records a proof of the path to a replica: a connection was opened, or a response arrived.
func (paths *Paths) Reached(key string, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.replicas[key]
	if !known.lost.IsZero() {
		paths.lost.Add(-1)
	}
	known.reached, known.lost = now, time.Time{}
	paths.replicas[key] = known
	paths.reached = now
	if !paths.cutOff {
		return Unchanged
	}
	paths.cutOff = false
	return Back
}

// Lost records that a connection to a replica could not be opened. begun is when the attempt began: it says nothing if the replica
// was reached since.
func (paths *Paths) Lost(key string, begun, now time.Time) Change {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.replicas[key]
	if known.reached.After(begun) {
		return Unchanged
	}
	if known.lost.IsZero() {
		paths.lost.Add(1)
	}
	known.lost = now
	paths.replicas[key] = known
	if paths.cutOff || paths.reached.After(begun) {
		return Unchanged
	}
	lost := 0
	for _, other := range paths.replicas {
		if other.lost.After(paths.reached) && now.Sub(other.lost) < lossExpiry {
			lost++
		}
	}
	if lost < min(minLost, len(paths.replicas)) {
		return Unchanged
	}
	paths.cutOff, paths.cutSince = true, now
	return CutOff
}

// IsLost reports whether the last attempt to reach the replica failed, lately.
func (paths *Paths) IsLost(key string, now time.Time) bool {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	known := paths.replicas[key]
	return !known.lost.IsZero() && now.Sub(known.lost) < lossExpiry
}

// IsCutOff reports whether the daemon reaches no replica, and since when.
func (paths *Paths) IsCutOff() (time.Time, bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	return paths.cutSince, paths.cutOff
}

// LostCount returns the number of replicas whose last attempt to be reached failed. It is cheap.
func (paths *Paths) LostCount() int {
	return int(paths.lost.Load())
}

// Keep drops the paths to replicas that are not among the given ones.
func (paths *Paths) Keep(keys map[string]bool) {
	paths.mutex.Lock()
	defer paths.mutex.Unlock()
	for key, known := range paths.replicas {
		if keys[key] {
			continue
		}
		if !known.lost.IsZero() {
			paths.lost.Add(-1)
		}
		delete(paths.replicas, key)
	}
}
