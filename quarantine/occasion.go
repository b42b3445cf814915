package quarantine

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// The spans in which all crashes of requests with one part of prompts are one occasion. Many replicas may crash at once for a
// reason that no request has, with a popular part in flight at most of them.
const (
	// occasionSpan is that of crashes whose connections were lost. It covers the delay between daemons.
	occasionSpan = 250 * time.Millisecond
	// silentOccasionSpan is that of replicas that ended without closing their connections, which daemons learn of when their
	// rows expire, one after the other.
	silentOccasionSpan = 2 * time.Second
)

// CrashTime is when a crash was seen.
type CrashTime struct {
	// At is the time, as far as it is known; zero if it is not.
	At time.Time
	// Silent states that the replica did not close its connections.
	Silent bool
}

// span returns the time from the crash in which others belong to the same occasion.
func (seen CrashTime) span() time.Duration {
	if seen.Silent {
		return silentOccasionSpan
	}
	return occasionSpan
}

// crashTimes maps crashes to when they were seen. It has at most capacity entries.
type crashTimes map[Crash]CrashTime

// observe records when a crash was seen, unless that is known.
func (times crashTimes) observe(crash Crash, seen CrashTime, now time.Time) {
	if _, known := times[crash]; known || seen.At.IsZero() {
		return
	}
	if len(times) >= capacity {
		times.removeOld(now)
	}
	times[crash] = seen
}

// removeOld removes the crashes that no suspect can have any more, or all if there are none.
func (times crashTimes) removeOld(now time.Time) {
	for crash, seen := range times {
		if now.Sub(seen.At) >= Retention {
			delete(times, crash)
		}
	}
	if len(times) >= capacity {
		clear(times)
	}
}

// occasions returns the number of occasions of the crashes. A crash at an unknown time is one of its own.
func (times crashTimes) occasions(crashes []Crash) int {
	count := 0
	for len(crashes) > 0 {
		_, crashes = times.oldestOccasion(crashes)
		count++
	}
	return count
}

// oldestOccasion returns the crashes of the first occasion, and the others. There must be a crash.
func (times crashTimes) oldestOccasion(crashes []Crash) (oldest, others []Crash) {
	first := slices.MinFunc(crashes, func(a, b Crash) int { return times[a].At.Compare(times[b].At) })
	seen := times[first]
	for _, crash := range crashes {
		next := times[crash]
		if crash == first || (!seen.At.IsZero() && !next.At.IsZero() && next.At.Before(seen.At.Add(seen.span()))) {
			oldest = append(oldest, crash)
		} else {
			others = append(others, crash)
		}
	}
	return oldest, others
}

// thin returns at most the given number of crashes of each occasion, the latest occasion last. All daemons keep the same of the
// same crashes.
func (times crashTimes) thin(crashes []Crash, maximum int) []Crash {
	var kept []Crash
	for len(crashes) > 0 {
		var oldest []Crash
		oldest, crashes = times.oldestOccasion(crashes)
		slices.SortFunc(oldest, compareCrashes)
		kept = append(kept, oldest[:min(len(oldest), maximum)]...)
	}
	return kept
}

// compareCrashes orders crashes by replica, boot and sequence.
func compareCrashes(a, b Crash) int {
	return cmp.Or(strings.Compare(a.Upstream, b.Upstream), strings.Compare(a.BootID, b.BootID), cmp.Compare(a.Sequence, b.Sequence))
}
