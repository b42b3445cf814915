package relay

import (
	"sync"
	"time"
)

const (
	// suspectLimit is the number of broken replicas from which a request is refused.
	suspectLimit = 3
	// suspectWindow is how long a broken replica counts against a request.
	suspectWindow = 30 * time.Second
	// suspectCapacity is the largest number of fingerprints.
	suspectCapacity = 4096
)

// Suspects counts, by fingerprint of the request, the replicas that broke off while they ran it.
// It is safe for concurrent use. Use NewSuspects.
type Suspects struct {
	mutex sync.Mutex
	// breaks maps fingerprints to the times of broken runs within the window, the first first.
	breaks map[uint64][]time.Time
}

// NewSuspects returns an empty count.
func NewSuspects() *Suspects {
	return &Suspects{breaks: map[uint64][]time.Time{}}
}

// Note counts a replica that broke off, and returns how many of the window are counted.
func (suspects *Suspects) Note(fingerprint uint64, now time.Time) int {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	if len(suspects.breaks) >= suspectCapacity {
		suspects.forget(now)
	}
	if len(suspects.breaks) >= suspectCapacity {
		return 0
	}
	suspects.breaks[fingerprint] = append(recent(suspects.breaks[fingerprint], now), now)
	return len(suspects.breaks[fingerprint])
}

// Clear forgets a request that was answered.
func (suspects *Suspects) Clear(fingerprint uint64) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	delete(suspects.breaks, fingerprint)
}

// Refused reports whether the request broke so many replicas that it may not run, and for how long.
func (suspects *Suspects) Refused(fingerprint uint64, now time.Time) (time.Duration, bool) {
	suspects.mutex.Lock()
	defer suspects.mutex.Unlock()
	times := recent(suspects.breaks[fingerprint], now)
	if len(times) < suspectLimit {
		return 0, false
	}
	return times[0].Add(suspectWindow).Sub(now), true
}

// forget drops the fingerprints without a recent break. The mutex is held.
func (suspects *Suspects) forget(now time.Time) {
	for fingerprint, times := range suspects.breaks {
		if len(recent(times, now)) == 0 {
			delete(suspects.breaks, fingerprint)
		}
	}
}

// recent returns the times within the window.
func recent(times []time.Time, now time.Time) []time.Time {
	for len(times) > 0 && now.Sub(times[0]) >= suspectWindow {
		times = times[1:]
	}
	return times
}
