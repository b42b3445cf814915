package relay

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

// waitLimit returns until when the request may wait for a replica, or the failure if it must not wait any longer. A begun stream
// may until resumeDeadline, unless its model is gone.
func (transaction *transaction) waitLimit(now time.Time) (time.Time, *outcome.Error) {
	if failure := transaction.modelFailure(); failure != nil {
		return now, failure
	}
	if transaction.goesOn() {
		return transaction.resumeDeadline(), nil
	}
	if transaction.service.Engine == nil {
		until := transaction.request.Arrived.Add(plainWait)
		if !now.Before(until) {
			return until, outcome.New(outcome.NoReplica, "no replica of the service is known").WithRetryAfter(retryAfterBusy)
		}
		return until, nil
	}
	total := transaction.deadline.Sub(transaction.request.Arrived)
	latestSend := transaction.latestSend(total)
	ready, known := transaction.forecast()
	known = known && now.Sub(ready) < staleForecast
	if !known && !transaction.relay.mayBeLoaded() {
		return now, transaction.outageFailure(now)
	}
	if known && ready.After(latestSend) {
		return latestSend, outcome.New(outcome.DeadlineUnmeetable, "the model will be loaded too late").WithRetryAfter(ready.Sub(now))
	}
	if known {
		return latestSend, waitFailure(now, latestSend)
	}
	noForecastLimit := transaction.request.Arrived.Add(time.Duration(noForecastPart * float64(total)))
	if latestSend.Before(noForecastLimit) {
		noForecastLimit = latestSend
	}
	return noForecastLimit, waitFailure(now, noForecastLimit)
}

// modelFailure returns the refusal of a request for a model that no engine of the service can hold, or nil.
func (transaction *transaction) modelFailure() *outcome.Error {
	engine := transaction.service.Engine
	if engine == nil {
		return nil
	}
	model, known := engine.Models[transaction.request.Metadata.Model]
	if !known {
		return outcome.New(outcome.NoReplica, "the service has no such model").WithRetryAfter(retryAfterCold)
	}
	if engine.Memory > 0 && model.Weights > engine.Memory {
		return outcome.New(outcome.NoReplica, "the model %s is larger than the memory of an engine", model.Name).WithRetryAfter(retryAfterCold)
	}
	return nil
}

// latestSend returns the latest useful time to send the request: before the client abandons a stream without an
// event, and early enough for the generation to finish before the deadline.
func (transaction *transaction) latestSend(total time.Duration) time.Time {
	latestSend := transaction.deadline.Add(-time.Duration(generationReserve * float64(total)))
	if transaction.route.Kind != topology.Streaming {
		return latestSend
	}
	abandonedAfter := max(minFirstEventTimeout, timeoutTargets*transaction.route.LatencyTarget, timeoutGaps*transaction.route.GapTarget)
	if begin := transaction.request.Arrived.Add(abandonedAfter - firstEventReserve); begin.Before(latestSend) {
		return begin
	}
	return latestSend
}

// waitFailure returns the failure of a request that has waited until the given time, or nil before it.
func waitFailure(now, until time.Time) *outcome.Error {
	if now.Before(until) {
		return nil
	}
	return outcome.New(outcome.NoReplica, "the model was not loaded in time").WithRetryAfter(retryAfterCold)
}

// forecast returns when the model, and the adapter if any, is expected to be loaded, and whether that is known.
func (transaction *transaction) forecast() (time.Time, bool) {
	key := transaction.key()
	if ready, known := transaction.relay.deps.Directory.Forecast(key); known {
		return ready, true
	}
	return transaction.relay.deps.Directory.Forecast(demand.Key{Service: key.Service, Model: key.Model})
}
