package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/outcome"
)

const (
	// loadPollInterval is the longest time until a request that waits for its model looks again whether models can be loaded.
	loadPollInterval = 500 * time.Millisecond
	// staleForecast is the time after which a forecast that did not come true says nothing any more.
	staleForecast = 2 * time.Second
	// outageRetryPart is the part of the remaining time after which the client of a request that cannot wait for its model may return. How
	// long an outage lasts is not known: a later return is likelier to be served, and clients wait for no more than a third.
	outageRetryPart = 0.33
)

// mayBeLoaded reports whether a daemon that is known may order the loads of models.
func (relay *Relay) mayBeLoaded() bool {
	return relay.deps.MayLoad == nil || relay.deps.MayLoad()
}

// outageFailure returns the refusal of a request whose model no daemon may order to be loaded now: it would be held in vain.
func (transaction *transaction) outageFailure(now time.Time) *outcome.Error {
	remaining := transaction.deadline.Sub(now)
	retryAfter := max(time.Duration(outageRetryPart*float64(remaining)), retryAfterCold)
	return outcome.New(outcome.NoReplica, "the model is not loaded, and no daemon can order a load now").WithRetryAfter(retryAfter)
}
