package dispatch

import (
	"math"
	"time"
)

// The decay of a peak.
const (
	// peakHalf is the time in which a peak falls to its half.
	peakHalf = 60 * time.Second
	// meanOver is the time over which the mean of a tenant is taken.
	meanOver = 10 * time.Second
	// deviations is the number of standard deviations above the mean for which slots are kept.
	deviations = 4
	// leastMean is the mean below which a tenant that runs and waits for nothing is no longer active.
	leastMean = 0.05
)

// peak is the largest number of requests of one tenant that ran or waited at once, which decays.
type peak struct {
	value float64
	at    time.Time
	// mean is the sum of that number weighted by age, as of seen, and count its value since.
	mean, count float64
	seen        time.Time
	// since is when the tenant became active.
	since time.Time
}

// average returns the mean until now. That of a tenant that became active lately is over the time since.
func (peak peak) average(now time.Time) float64 {
	weight := 1 - math.Exp(-float64(now.Sub(peak.since))/float64(meanOver))
	if weight <= 0 {
		return peak.count
	}
	return peak.sum(now) / weight
}

// sum returns the decayed sum of the counts until now, as a part of meanOver.
func (peak peak) sum(now time.Time) float64 {
	keep := math.Exp(-float64(now.Sub(peak.seen)) / float64(meanOver))
	return peak.count + keep*(peak.mean-peak.count)
}

// now returns the decayed value.
func (peak peak) now(now time.Time) float64 {
	return peak.value * math.Exp2(-float64(now.Sub(peak.at))/float64(peakHalf))
}

// needs returns the slots that the tenant needs at a peak: the peak, but no more than deviations of random
// arrivals above its mean, so that a burst that is over keeps nothing for long.
func (peak peak) needs(now time.Time) float64 {
	mean := peak.average(now)
	return min(peak.now(now), mean+deviations*math.Sqrt(mean))
}

// notice takes the number of requests of the tenant that run and wait from now on.
func (lane *lane) notice(tenant string, count int, now time.Time) {
	seen := lane.peaks[tenant]
	if seen.seen.IsZero() {
		seen.since = now
	} else {
		seen.mean = seen.sum(now)
	}
	seen.seen, seen.count = now, float64(count)
	if seen.count >= seen.now(now) {
		seen.value, seen.at = seen.count, now
	}
	lane.peaks[tenant] = seen
}
