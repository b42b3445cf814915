package keepwarm

import "time"

// Properties are what a decision on one model depends on besides its arrivals.
type Properties struct {
	// Accelerators is the number that one replica holds, at least one.
	Accelerators float64
	// ColdStart is the time of a load from where the checkpoint is now.
	ColdStart time.Duration
	// Concurrency is the number of requests that one replica serves well at once; zero means 16.
	Concurrency int
	// MaxReplicas is the largest answer of Wanted; zero means one.
	MaxReplicas int
}

// Policy decides which models are held without a waiting request. Times given
// to one policy must not go back by more than a clock is corrected; an earlier
// time than the last is taken as the last.
type Policy interface {
	// Describe sets the traits of a model. A model without traits is not wanted.
	Describe(model string, traits Properties)
	// Forget drops the traits of a model that was withdrawn; what was learnt stays until it decays.
	Forget(model string)
	// Observe notes n arrivals of the model.
	Observe(model string, now time.Time, n int)
	// Wanted returns the number of replicas that are worth holding now. Waiting
	// requests are no matter of the policy: they load a replica in any case.
	Wanted(model string, now time.Time) int
	// Next returns the next time at which Wanted may differ without an observation,
	// or the zero time if there is none.
	Next(model string, now time.Time) time.Time
}

// Costs are the two costs that a decision weighs.
type Costs struct {
	// ColdStart is the cost of one second of cold start of one request.
	ColdStart float64
	// IdleHour is the cost of one idle accelerator hour.
	IdleHour float64
}
