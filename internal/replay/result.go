package replay

import (
	"slices"
	"time"
)

// Result holds the measurements of one simulation.
type Result struct {
	// Waits holds the cold-start time of each request; it is zero if the replica was loaded.
	Waits []time.Duration
	// Idle is the accelerator time held without a running request, including loads.
	Idle time.Duration
	// Loads is the number of loads that began.
	Loads int
}

// Add combines the results of two simulations.
func (result Result) Add(other Result) Result {
	result.Waits = append(slices.Clone(result.Waits), other.Waits...)
	result.Idle += other.Idle
	result.Loads += other.Loads
	return result
}

// ColdStarts returns the cold-start times of the requests that waited.
func (result Result) ColdStarts() []time.Duration {
	var cold []time.Duration
	for _, wait := range result.Waits {
		if wait > 0 {
			cold = append(cold, wait)
		}
	}
	return cold
}

// Mean returns the mean of the waits, or zero without waits.
func (result Result) Mean() time.Duration {
	if len(result.Waits) == 0 {
		return 0
	}
	var sum time.Duration
	for _, wait := range result.Waits {
		sum += wait
	}
	return sum / time.Duration(len(result.Waits))
}

// Quantile returns the smallest wait that the given fraction of the waits does not exceed, or zero without waits.
func Quantile(waits []time.Duration, fraction float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	index := int(fraction*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(index, 0), len(sorted)-1)]
}
