package quarantine

import "time"

// maxCount bounds the count of one fingerprint.
const maxCount = 64

// recentCounts counts recent fingerprints. It keeps two generations and drops the older one when the newer is
// full, which bounds its memory, or old.
type recentCounts struct {
	// size is the maximum number of fingerprints in the current generation.
	size              int
	current, previous map[uint64]int
	// rotated is when the current generation began.
	rotated time.Time
}

// expire drops the generation before the current one if the current one is older than the period, and both if it is older
// than two.
func (counts *recentCounts) expire(period time.Duration, now time.Time) {
	age := now.Sub(counts.rotated)
	if age < period {
		return
	}
	counts.previous = counts.current
	if age >= 2*period {
		counts.previous = map[uint64]int{}
	}
	counts.current = map[uint64]int{}
	counts.rotated = now
}

func newRecentCounts(size int) recentCounts {
	return recentCounts{size: size, current: map[uint64]int{}, previous: map[uint64]int{}}
}

// increment adds one to the count of the fingerprint.
func (counts *recentCounts) increment(fingerprint uint64) {
	if len(counts.current) >= counts.size {
		counts.previous = counts.current
		counts.current = map[uint64]int{}
	}
	total := counts.current[fingerprint] + counts.previous[fingerprint]
	delete(counts.previous, fingerprint)
	counts.current[fingerprint] = min(total+1, maxCount)
}

// decrement subtracts one from the count of the fingerprint, and returns false if it is zero.
func (counts *recentCounts) decrement(fingerprint uint64) bool {
	total := counts.current[fingerprint] + counts.previous[fingerprint]
	if total == 0 {
		return false
	}
	delete(counts.previous, fingerprint)
	if total == 1 {
		delete(counts.current, fingerprint)
		return true
	}
	counts.current[fingerprint] = total - 1
	return true
}
