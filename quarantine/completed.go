package quarantine

import "sync"

// completedCapacity is the maximum number of fingerprints in a Completed set.
const completedCapacity = 4096

// Completed is the set of fingerprints whose requests were recently answered in full. It is safe for concurrent
// use.
type Completed struct {
	mutex sync.Mutex
	// order is a ring buffer of at most completedCapacity fingerprints, and next the index to overwrite next.
	order []uint64
	next  int
	// known holds the fingerprints of order, except removed ones.
	known map[uint64]bool
}

// NewCompleted returns an empty set.
func NewCompleted() *Completed {
	return &Completed{known: map[uint64]bool{}}
}

// Add adds the fingerprint. In a full set it replaces the oldest one.
func (completed *Completed) Add(fingerprint uint64) {
	completed.mutex.Lock()
	defer completed.mutex.Unlock()
	if completed.known[fingerprint] {
		return
	}
	completed.known[fingerprint] = true
	if len(completed.order) < completedCapacity {
		completed.order = append(completed.order, fingerprint)
		return
	}
	delete(completed.known, completed.order[completed.next])
	completed.order[completed.next] = fingerprint
	completed.next = (completed.next + 1) % completedCapacity
}

// Has reports whether the fingerprint is in the set.
func (completed *Completed) Has(fingerprint uint64) bool {
	completed.mutex.Lock()
	defer completed.mutex.Unlock()
	return completed.known[fingerprint]
}

// Remove removes a fingerprint that was in flight during a crash.
func (completed *Completed) Remove(fingerprint uint64) {
	completed.mutex.Lock()
	defer completed.mutex.Unlock()
	// The fingerprint stays in order until its slot is overwritten.
	delete(completed.known, fingerprint)
}
