package quarantine

import "sync"

// provenCapacity is the largest number of fingerprints that are remembered as harmless.
const provenCapacity = 4096

// Completed remembers the fingerprints that were answered in full lately. It is safe for concurrent use.
type Completed struct {
	mutex sync.Mutex
	// order is a ring of at most provenCapacity fingerprints; next is the place of the next one.
	order []uint64
	next  int
	// known holds the fingerprints in order.
	known map[uint64]bool
}

// NewCompleted returns an empty set.
func NewCompleted() *Completed {
	return &Completed{known: map[uint64]bool{}}
}

// Add remembers the fingerprint in place of the oldest one.
func (proven *Completed) Add(fingerprint uint64) {
	proven.mutex.Lock()
	defer proven.mutex.Unlock()
	if proven.known[fingerprint] {
		return
	}
	proven.known[fingerprint] = true
	if len(proven.order) < provenCapacity {
		proven.order = append(proven.order, fingerprint)
		return
	}
	delete(proven.known, proven.order[proven.next])
	proven.order[proven.next] = fingerprint
	proven.next = (proven.next + 1) % provenCapacity
}

// Has reports whether the fingerprint was answered in full lately.
func (proven *Completed) Has(fingerprint uint64) bool {
	proven.mutex.Lock()
	defer proven.mutex.Unlock()
	return proven.known[fingerprint]
}

// Remove forgets a fingerprint that was in flight during a crash.
func (proven *Completed) Remove(fingerprint uint64) {
	proven.mutex.Lock()
	defer proven.mutex.Unlock()
	// The fingerprint stays in order, where its place is freed in turn.
	delete(proven.known, fingerprint)
}
