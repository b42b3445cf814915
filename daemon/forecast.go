package daemon

import (
	"time"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/peer"
)

const (
	// forecastLifetime is how long an estimate of the decider is valid without a new one.
	forecastLifetime = 3 * time.Second
	// refusedRetryDelay is the time after which a client may retry a request whose load was refused.
	refusedRetryDelay = 5 * time.Second
)

// forecast is the newest estimate of the decider for one model.
type forecast struct {
	readiness peer.Readiness
	// ready is the time at which a replica is expected to serve.
	ready time.Time
	// receivedAt is the time at which the estimate was received.
	receivedAt time.Time
	reason     string
}

// evaluate returns the forecast at the time: unknown if it has expired, and an error of kind NoReplica if
// the decider refused to load the model.
func (forecast forecast) evaluate(now time.Time) (dispatch.Forecast, error) {
	if now.Sub(forecast.receivedAt) > forecastLifetime {
		return dispatch.Forecast{}, nil
	}
	switch forecast.readiness {
	case peer.Refused:
		return dispatch.Forecast{}, outcome.New(outcome.NoReplica, "no replica can be loaded: %s", forecast.reason).WithRetryAfter(refusedRetryDelay)
	case peer.Served, peer.Loading, peer.Decided:
		return dispatch.Forecast{Known: true, ReadyIn: max(0, forecast.ready.Sub(now))}, nil
	default:
		return dispatch.Forecast{}, nil
	}
}
