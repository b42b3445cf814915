package residency

import "time"

// Demand is the total demand of all daemons for one model or adapter.
type Demand struct {
	// Waiting is the number of requests that wait for a load.
	Waiting int
	// Oldest is the arrival of the longest waiting request; zero if none waits.
	Oldest time.Time
	// Rate is the number of requests per second, averaged over a few seconds.
	Rate float64
	// Tokens is the number of prompt tokens per second.
	Tokens float64
	// Rise is the number of requests per second over the last moment, minus Rate; negative if they fall.
	Rise float64
	// Refused is the number of requests per second that were refused for want of capacity. They are counted in Rate too.
	Refused float64
	// Running is the number of requests in flight.
	Running int
	// Target is the time to the first event that callers expect; zero if unknown.
	Target time.Duration
	// LastArrival is when the last request arrived.
	LastArrival time.Time
}

// mayNeedReplica reports whether the demand is high enough that a further replica may be needed.
func (demand *Demand) mayNeedReplica() bool {
	return demand.Rate >= latencySensitiveRate || demand.Running > 1
}

// active reports whether the planner may load the model for this demand.
func (demand *Demand) active() bool {
	return demand.Waiting > 0 || demand.mayNeedReplica()
}
