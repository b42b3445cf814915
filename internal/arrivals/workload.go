package arrivals

import (
	"slices"
	"time"
)

// Tiers is the number of tiers that a checkpoint can be loaded from: remote, disk, memory.
const Tiers = 3

// Model is one rarely used model.
type Model struct {
	// Name is unique in the workload.
	Name string
	// Accelerators is the number that one replica holds.
	Accelerators int
	// Load is the time of a load by tier, from the slowest to the fastest.
	Load [Tiers]time.Duration
	// Weights is the size of the checkpoint in bytes.
	Weights int64
}

// Arrival is one request.
type Arrival struct {
	// At is the time of arrival.
	At time.Time
	// Model is the index of the model.
	Model int
	// Service is how long a loaded replica works on it.
	Service time.Duration
}

// Workload is what arrives at one deployment.
type Workload struct {
	// Name is the name of the deployment.
	Name string
	// Start is the beginning of the first day.
	Start time.Time
	// Days is the length.
	Days int
	// Models are the models; their order means nothing.
	Models []Model
	// Arrivals are ordered by time.
	Arrivals []Arrival
	// LoadsAtOnce is the number of loads from the weight store at full speed.
	LoadsAtOnce int
}

// day is the length of a day.
const day = 24 * time.Hour

// End returns the end of the last day.
func (workload Workload) End() time.Time {
	return workload.Start.Add(time.Duration(workload.Days) * day)
}

func (workload *Workload) sort() {
	slices.SortStableFunc(workload.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
}
