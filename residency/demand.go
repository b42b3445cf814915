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

// The thresholds of refusals and rises.
const (
	// unloadedRefusedRate is the number of refused requests per second from which a model that no engine has is loaded
	// although none waits. One refused request counts for about three seconds.
	unloadedRefusedRate = 0.1
	// fullRefusedRate and fullRefusedShare are the number of refused requests per second, and their share of all, from
	// which the replicas of a model count as full.
	fullRefusedRate  = 0.4
	fullRefusedShare = 0.05
	// refusalCost is the waiting, in seconds, that counts for one refused request: its client comes back about that late.
	refusalCost = 2.0
	// minRise and minRiseShare are the rise per second, and relative to the rate, from which it is no chance variation.
	minRise      = 2.0
	minRiseShare = 0.5
	// riseAhead is the multiple of the rise that is expected until a copy ordered now serves, and maxGrowth the largest
	// factor by which the demand is extrapolated.
	riseAhead = 2.0
	maxGrowth = 3.0
)

// wanted reports whether the model is to be loaded if no engine has it: requests wait for it, or were refused lately.
func (demand *Demand) wanted() bool {
	return demand.Waiting > 0 || demand.Refused >= unloadedRefusedRate
}

// refusing reports whether so many requests are refused that the replicas of the model count as full.
func (demand *Demand) refusing() bool {
	return demand.Refused >= fullRefusedRate && demand.Refused >= fullRefusedShare*demand.Rate
}

// inFlight returns the number of requests that will run or wait when a copy that is ordered now serves, with those that
// were refused lately.
func (demand *Demand) inFlight() float64 {
	return demand.growth() * (float64(demand.Running+demand.Waiting) + refusalCost*demand.Refused)
}

// growth returns the factor by which the demand will have risen when a copy that is ordered now serves; 1 unless the
// rate rises clearly.
func (demand *Demand) growth() float64 {
	if demand.Rate <= 0 || demand.Rise < max(minRise, minRiseShare*demand.Rate) {
		return 1
	}
	return min(1+riseAhead*demand.Rise/demand.Rate, maxGrowth)
}

// mayNeedReplica reports whether the demand is high enough that a further replica may be needed.
func (demand *Demand) mayNeedReplica() bool {
	return demand.Rate >= latencySensitiveRate || demand.Running > 1
}

// active reports whether the planner may load the model for this demand.
func (demand *Demand) active() bool {
	return demand.wanted() || demand.mayNeedReplica()
}
