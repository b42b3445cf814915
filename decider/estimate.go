package decider

import (
	"time"

	"github.com/bronzestall/bronzestall/placement"
)

// Estimate states when a replica of a model is expected to serve.
type Estimate struct {
	// Known states that this process decides and has evaluated the model since it was requested.
	Known bool
	// Obstacle states why the replica cannot be loaded at once.
	Obstacle placement.Obstacle
	// Failed states that the last load failed and is not repeated before ReadyIn.
	Failed bool
	// ReadyIn is the expected time until a replica serves. It is meaningless for NoRoom and
	// NoUpstream.
	ReadyIn time.Duration
}

// timedEstimate is an estimate with the time at which it was made.
type timedEstimate struct {
	estimate Estimate
	at       time.Time
}

// Estimate returns when a replica of the model is expected to serve. It is not known for models
// that no requests wait for.
func (decider *Decider) Estimate(model string) Estimate {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	found, ok := decider.estimates[model]
	if !ok {
		return Estimate{}
	}
	estimate := found.estimate
	estimate.ReadyIn = max(0, estimate.ReadyIn-decider.deps.Clock.Since(found.at))
	return estimate
}

// Status is the state of a decider for display. It is updated each second.
type Status struct {
	// Deciding states that this process owns the lease.
	Deciding bool
	// Fence is the fencing number.
	Fence uint64
	// Outage states that the table service is unavailable and loads continue within the budget.
	Outage bool
	// Open is the number of loads that are decided and not yet shown by an engine.
	Open int
	// Slots is the number of permits for loads from the weight store, and Busy the number in
	// use.
	Slots, Busy int
	// Charged is the charged accelerator memory in bytes by upstream.
	Charged map[string]int64
}

// Status returns the status of a step within the last second. It is zero while this process does
// not decide.
func (decider *Decider) Status() Status {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	return decider.status
}

// publish makes the results of a step available to Estimate and Status; nil means that this
// process does not decide.
func (decider *Decider) publish(term *term) {
	decider.mutex.Lock()
	defer decider.mutex.Unlock()
	if term == nil {
		clear(decider.estimates)
		clear(decider.reports)
		decider.status = Status{}
		return
	}
	decider.estimates = term.estimates
	if term.due(&term.statusUpdatedAt, statusInterval) || decider.status.Outage != term.outage {
		decider.status = term.status()
	}
}
