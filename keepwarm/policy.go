package keepwarm

import "time"

// Properties are the inputs to a decision on one model other than its arrivals.
type Properties struct {
	// Accelerators is the number of accelerators that one replica occupies, at least one.
	Accelerators float64
	// ColdStart is the load time from where the checkpoint is stored now.
	ColdStart time.Duration
	// Concurrency is the number of requests that one replica serves well at once; zero means 16.
	Concurrency int
	// MaxReplicas is the upper bound of Wanted; zero means one.
	MaxReplicas int
}

// Policy decides which models to keep loaded without a waiting request. Times passed to one policy must not go back
// by more than a clock correction; a time before the previous one is replaced by it.
type Policy interface {
	// Describe sets the properties of a model. A model without properties is not wanted.
	Describe(model string, properties Properties)
	// Forget deletes the properties of a model that was withdrawn; its statistics remain until they decay.
	Forget(model string)
	// Observe records n arrivals of the model.
	Observe(model string, now time.Time, n int)
	// Wanted returns the number of replicas that are worth keeping loaded now. Waiting requests are not considered,
	// since they cause a load in any case.
	Wanted(model string, now time.Time) int
	// Next returns the next time at which Wanted may change without an observation, or the zero time if there is
	// none.
	Next(model string, now time.Time) time.Time
}

// Costs are the two costs that a decision weighs against each other.
type Costs struct {
	// ColdStart is the cost of one second of cold start for one request.
	ColdStart float64
	// IdleHour is the cost of one idle accelerator for one hour.
	IdleHour float64
}
