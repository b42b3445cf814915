package dispatch

import (
	"math"
	"time"

	"github.com/bronzestall/bronzestall/internal/decay"
)

// The decay of a peak and the limits derived from it.
const (
	// peakHalfLife is the time in which a peak decays to half its value.
	peakHalfLife = 60 * time.Second
	// meanWindow is the time constant of the mean of a tenant.
	meanWindow = 10 * time.Second
	// deviations is the number of standard deviations above the mean for which slots are kept.
	deviations = 4
	// minActiveMean is the mean below which a tenant without requests is no longer active.
	minActiveMean = 0.05
)

// peak is the largest number of concurrent requests of one tenant, running or waiting, which decays with time.
type peak struct {
	value float64
	at    time.Time
	// mean is the exponentially weighted mean of that number as of seen, and count its value since seen.
	mean, count float64
	seen        time.Time
	// since is when the tenant became active.
	since time.Time
}

// average returns the mean up to now, over the time since the tenant became active.
func (peak peak) average(now time.Time) float64 {
	weight := 1 - math.Exp(-float64(now.Sub(peak.since))/float64(meanWindow))
	if weight <= 0 {
		return peak.count
	}
	return peak.uncorrectedMean(now) / weight
}

// uncorrectedMean returns the exponentially weighted mean up to now, with zero for the time before since.
func (peak peak) uncorrectedMean(now time.Time) float64 {
	keep := math.Exp(-float64(now.Sub(peak.seen)) / float64(meanWindow))
	return peak.count + keep*(peak.mean-peak.count)
}

// now returns the decayed peak.
func (peak peak) now(now time.Time) float64 {
	return peak.value * decay.Weight(now.Sub(peak.at), peakHalfLife)
}

// slotsNeeded returns the slots that the tenant needs at a peak. It is the peak, but at most deviations above
// the mean of random arrivals, so that a burst that has ended does not keep slots for long.
func (peak peak) slotsNeeded(now time.Time) float64 {
	mean := peak.average(now)
	return min(peak.now(now), mean+deviations*math.Sqrt(mean))
}

// recordDemand records the number of running and waiting requests of the tenant from now on.
func (workload *workload) recordDemand(tenant string, count int, now time.Time) {
	seen := workload.peaks[tenant]
	if seen.seen.IsZero() {
		seen.since = now
	} else {
		seen.mean = seen.uncorrectedMean(now)
	}
	seen.seen, seen.count = now, float64(count)
	if seen.count >= seen.now(now) {
		seen.value, seen.at = seen.count, now
	}
	workload.peaks[tenant] = seen
}
