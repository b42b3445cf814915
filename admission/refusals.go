package admission

import (
	"maps"
	"time"
)

const (
	// refusalTTL is how long a refusal is remembered; clients return within seconds.
	refusalTTL = 10 * time.Second
	// maxRefusals bounds the refusals that are remembered.
	maxRefusals = 4096
)

// Refusals remembers which requests were refused for want of capacity, by their fingerprints, so that they are known when they return.
// It is not safe for concurrent use. Use NewRefusals.
type Refusals struct {
	at map[uint64]time.Time
}

// NewRefusals returns an empty memory.
func NewRefusals() *Refusals {
	return &Refusals{at: map[uint64]time.Time{}}
}

// Add remembers the refusal of a request. A full memory forgets all that has expired, or else everything.
func (refusals *Refusals) Add(fingerprint uint64, now time.Time) {
	if len(refusals.at) >= maxRefusals {
		maps.DeleteFunc(refusals.at, func(_ uint64, at time.Time) bool { return now.Sub(at) > refusalTTL })
	}
	if len(refusals.at) >= maxRefusals {
		clear(refusals.at)
	}
	refusals.at[fingerprint] = now
}

// Returned reports whether the request was refused lately.
func (refusals *Refusals) Returned(fingerprint uint64, now time.Time) bool {
	at, ok := refusals.at[fingerprint]
	return ok && now.Sub(at) <= refusalTTL
}
