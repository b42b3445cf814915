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
	// Accelerators is the number of accelerators that one replica occupies.
	Accelerators int
	// Load is the load time by tier, from the slowest to the fastest.
	Load [Tiers]time.Duration
	// Weights is the size of the checkpoint in bytes.
	Weights int64
}

// Arrival is the arrival of one request.
type Arrival struct {
	// At is the time of arrival.
	At time.Time
	// Model is the index of the model.
	Model int
	// Service is the service time of the request on a loaded replica.
	Service time.Duration
}

// Workload holds the models and arrivals of one deployment.
type Workload struct {
	// Name is the name of the deployment.
	Name string
	// Start is the beginning of the first day.
	Start time.Time
	// Days is the length in days.
	Days int
	// Models holds the models; their order has no meaning.
	Models []Model
	// Arrivals are ordered by time.
	Arrivals []Arrival
	// LoadsAtOnce is the number of concurrent loads from the weight store.
	LoadsAtOnce int
}

// day is the length of one day.
const day = 24 * time.Hour

// End returns the end of the last day.
func (workload Workload) End() time.Time {
	return workload.Start.Add(time.Duration(workload.Days) * day)
}

func (workload *Workload) sort() {
	slices.SortStableFunc(workload.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
}
