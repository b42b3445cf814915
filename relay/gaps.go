package relay

import "time"

const (
	// gapInterval is the time after which the mean gap of a stream is reported, so that a replica that slows down is known before its
	// streams end.
	gapInterval = time.Second
	// minGaps is the least number of gaps of which a mean is reported.
	minGaps = 4
)

// gaps measures the times between the events of one stream. The zero value is ready for begin. It reads no clock and takes no lock.
type gaps struct {
	// since is when the part began that is not reported yet, and last the last event; count is the number of gaps between them.
	since, last time.Duration
	count       int
	// late is set once a gap was longer than the target.
	late bool
}

// begin records the first event.
func (gaps *gaps) begin(at time.Duration) {
	gaps.since, gaps.last = at, at
}

// observe records a further event. It returns the mean gap if one is due, else zero, and whether the stream had its first gap that is
// longer than the target; zero means that no gap is late.
func (gaps *gaps) observe(at, target time.Duration) (mean time.Duration, late bool) {
	if target > 0 && !gaps.late && at-gaps.last > target {
		gaps.late, late = true, true
	}
	gaps.last = at
	gaps.count++
	if at-gaps.since >= gapInterval {
		mean = gaps.rest()
	}
	return mean, late
}

// rest returns the mean of the gaps that are not reported yet, or zero if they are few, and counts them as reported.
func (gaps *gaps) rest() time.Duration {
	if gaps.count < minGaps {
		return 0
	}
	mean := (gaps.last - gaps.since) / time.Duration(gaps.count)
	gaps.since, gaps.count = gaps.last, 0
	return mean
}
