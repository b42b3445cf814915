package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// DemandReport is what waits and runs for one target on this daemon.
type DemandReport struct {
	// Target is the model, with the adapter if the requests name one.
	Target catalogue.Target
	// Waiting is the number of requests in the queue; zero ends the need.
	Waiting int
	// Running is the number of requests on upstreams.
	Running int
	// Deadline is the earliest deadline of the waiting requests.
	Deadline time.Time
}

// Forecast tells when a model will be ready.
type Forecast struct {
	// Known states that Ready holds; false means that the decider has not said anything yet.
	Known bool
	// ReadyIn is the time until a replica serves.
	ReadyIn time.Duration
}

// Demand tells the deciding daemon what this daemon needs. Its methods do not block.
type Demand interface {
	// Report replaces the need that was reported for the target before.
	Report(need DemandReport)
	// Forecast returns the estimate for the model. It fails with an *outcome.Error of the kinds
	// NoDecider, NoReplica or LoadFailed, with the delay after which to come back.
	Forecast(model string) (Forecast, error)
}
