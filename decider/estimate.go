package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/placement"
)

// Estimate is when a replica of a model is expected to serve.
type Estimate struct {
	// Known states that this process decides and has looked at the model since it was asked for.
	Known bool
	// Obstacle tells what stands in the way.
	Obstacle placement.Obstacle
	// Failed states that the last load failed and is not repeated before ReadyIn.
	Failed bool
	// ReadyIn is the expected time until a replica serves. It means nothing for NoRoom and NoUpstream.
	ReadyIn time.Duration
}

// outlookAt is an estimate with the time it was made.
type outlookAt struct {
	estimate Estimate
	at       time.Time
}

// Estimate returns when a replica of the model is expected to serve. It tells nothing of models
// that no router waits for.
func (decider *Decider) Estimate(model string) Estimate {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	found, ok := decider.outlooks[model]
	if !ok {
		return Estimate{}
	}
	estimate := found.estimate
	estimate.ReadyIn = max(0, estimate.ReadyIn-decider.deps.Clock.Since(found.at))
	return estimate
}

// Status is what the decider shows of itself. It is renewed each second.
type Status struct {
	// Deciding states that this process owns the lease.
	Deciding bool
	// Fence is the fencing number.
	Fence uint64
	// Outage states that the table service is away and loads go on within the budget.
	Outage bool
	// Open is the number of loads that are decided and not shown by an engine.
	Open int
	// Slots and Busy tell of the permits for loads from the weight store.
	Slots, Busy int
	// Charged is the accelerator memory in bytes that is charged by upstream.
	Charged map[string]int64
}

// Status returns what a step found within the last second.
func (decider *Decider) Status() Status {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	return decider.status
}

// publish makes the findings of a step visible; nil means that this process does not decide.
func (decider *Decider) publish(reign *reign) {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	if reign == nil {
		clear(decider.outlooks)
		clear(decider.reports)
		decider.status = Status{}
		return
	}
	decider.outlooks = reign.outlooks
	if reign.due(&reign.statusAt, statusEvery) || decider.status.Outage != reign.away {
		decider.status = reign.status()
	}
}
