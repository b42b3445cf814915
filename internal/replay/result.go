package replay

import (
	"slices"
	"time"
)

// Result is what a replay measured within its window.
type Result struct {
	// Waits holds the cold-start time of each request, zero for a request that found a loaded replica.
	Waits []time.Duration
	// Idle is the accelerator time held without a running request, loads included.
	Idle time.Duration
	// Loads is the number of loads.
	Loads int
}

// Add joins the results of two replays.
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

// Mean returns the mean of the waits.
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

// Quantile returns the smallest wait that at least the given part of the waits does not exceed.
func Quantile(waits []time.Duration, part float64) time.Duration {
	if len(waits) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(waits))
	place := int(part*float64(len(sorted))+0.999999) - 1
	return sorted[min(max(place, 0), len(sorted)-1)]
}
