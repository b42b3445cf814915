package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
)

// DemandReport is the number of waiting and running requests for one target on this daemon.
type DemandReport struct {
	// Target is the model, with the adapter if the requests name one.
	Target catalogue.Target
	// Waiting is the number of requests in the queue; zero withdraws the demand.
	Waiting int
	// Running is the number of requests on upstreams.
	Running int
	// Deadline is the earliest deadline of the waiting requests.
	Deadline time.Time
}

// Forecast estimates when a model will be ready.
type Forecast struct {
	// Known states that ReadyIn is valid; false means that there is no estimate from the decider yet.
	Known bool
	// ReadyIn is the time until a replica can serve.
	ReadyIn time.Duration
}

// Demand reports the demand of this daemon to the decider. Its methods do not block.
type Demand interface {
	// Report replaces the previous report for the target.
	Report(demand DemandReport)
	// Forecast returns the estimate for the model. It fails with an *outcome.Error of the kind NoDecider,
	// NoReplica or LoadFailed that carries a Retry-After delay.
	Forecast(model string) (Forecast, error)
}
