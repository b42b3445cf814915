package daemon

import (
	"time"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/peer"
)

const (
	// forecastAge is how long an estimate of the decider holds without a new one.
	forecastAge = 3 * time.Second
	// refusedRetry is the delay after which a refused load can be decided anew.
	refusedRetry = 5 * time.Second
)

// forecast is the newest estimate of the decider for one model.
type forecast struct {
	readiness peer.Readiness
	// ready is the time at which a replica is expected to serve.
	ready time.Time
	// heard is the time at which the estimate came.
	heard  time.Time
	reason string
}

// told returns what the forecast says at the time.
func (forecast forecast) told(now time.Time) (dispatch.Forecast, error) {
	if now.Sub(forecast.heard) > forecastAge {
		return dispatch.Forecast{}, nil
	}
	switch forecast.readiness {
	case peer.Refused:
		return dispatch.Forecast{}, outcome.New(outcome.NoReplica, "no replica can be loaded: %s", forecast.reason).WithRetryAfter(refusedRetry)
	case peer.Served, peer.Loading, peer.Decided:
		return dispatch.Forecast{Known: true, ReadyIn: max(0, forecast.ready.Sub(now))}, nil
	default:
		return dispatch.Forecast{}, nil
	}
}
