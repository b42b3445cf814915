package residency

import "time"

// Demand is what all daemons together want of one model, or of one of its adapters.
type Demand struct {
	// Waiting is the number of requests that wait for it.
	Waiting int
	// Oldest is when the first of them arrived; zero if none waits.
	Oldest time.Time
	// Rate is the number of requests a second, averaged over some seconds.
	Rate float64
	// Tokens is the number of prompt tokens a second.
	Tokens float64
	// Running is the number of requests in flight.
	Running int
	// Target is the time to the first event that callers expect; zero if unknown.
	Target time.Duration
	// LastArrival is when the last request arrived.
	LastArrival time.Time
}

// repeated reports whether the model is asked for so often that it may need a further replica.
func (demand *Demand) repeated() bool {
	return demand.Rate >= impatientRate || demand.Running > 1
}

// active reports whether the planner may load the model for the demand.
func (demand *Demand) active() bool {
	return demand.Waiting > 0 || demand.repeated()
}
