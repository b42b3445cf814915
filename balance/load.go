package balance

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/pace"
)

// load is the known load and health of one replica.
type load struct {
	// local counts the requests in flight from this daemon.
	local demand.InFlight
	// remote counts those of other daemons, as last reported.
	remote demand.InFlight
	// startRates holds, by priority, the moving average of requests that get their first event per second, measured
	// by requests that had others ahead of them; zero if unknown.
	startRates [demand.Priorities]float64
	// pendingPromptTokens is the number of prompt tokens sent by this daemon whose requests have had no event yet.
	pendingPromptTokens int
	// latency is the moving average of the time to the first byte of a response; zero if unknown.
	latency time.Duration
	// failureRate is the moving average of failed attempts, from zero to one.
	failureRate float64
	// consecutiveFailures is the number of failures since the last success.
	consecutiveFailures int
	// ejectedUntil is the time before which the replica is chosen only if no other can serve.
	ejectedUntil time.Time
	// lastUsed is when the replica was last chosen.
	lastUsed time.Time
	// observed has the observations since the last call of TakeObservations, and pace what is known from them and from other daemons.
	observed pace.Sums
	pace     pace.Value
}

// The weights of the moving averages: the fraction that the newest value contributes.
const (
	latencyWeight   = 0.15
	failureWeight   = 0.12
	startRateWeight = 0.3
)

// inFlight returns the number of requests known to be in flight at the replica.
func (load *load) inFlight() int {
	return load.local.Running + load.remote.Running
}

// queuedAhead returns the number of requests that get their first event before a new one of the priority.
func (load *load) queuedAhead(priority int) int {
	return max(0, load.local.Ahead(priority)+load.remote.Ahead(priority))
}

// expectedWait returns the expected wait of a new request of the priority for its first event, or zero if no request
// is ahead of it or the rate is unknown.
func (load *load) expectedWait(priority int) time.Duration {
	queuedAhead := load.queuedAhead(priority)
	if queuedAhead == 0 || load.startRates[priority] == 0 {
		return 0
	}
	return time.Duration(float64(queuedAhead+1) / load.startRates[priority] * float64(time.Second))
}

// observeWait updates the start rate from a request that had others ahead of it and got its first event after the
// wait. If it got none, the wait gives an upper bound of the rate only.
func (load *load) observeWait(priority, queuedAhead int, wait time.Duration, begun bool) {
	if queuedAhead == 0 || wait <= 0 {
		return
	}
	rate := float64(queuedAhead+1) / wait.Seconds()
	last := load.startRates[priority]
	switch {
	case last == 0 && begun:
		load.startRates[priority] = rate
	case begun || rate < last:
		load.startRates[priority] += startRateWeight * (rate - last)
	}
}

// observeLatency updates the moving average of the latency.
func (load *load) observeLatency(latency time.Duration) {
	if load.latency == 0 {
		load.latency = latency
		return
	}
	load.latency += time.Duration(latencyWeight * float64(latency-load.latency))
}

// observeResult updates the moving average of failures.
func (load *load) observeResult(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	load.failureRate += failureWeight * (value - load.failureRate)
}
