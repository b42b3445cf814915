package balance

import (
	"time"

	"github.com/bronzestall/bronzestall/demand"
)

// load is what is known of one replica.
type load struct {
	// own counts the requests in flight from this daemon.
	own demand.InFlight
	// others counts those of other daemons, as they told.
	others demand.InFlight
	// starts is the moving average of requests that get their first event in a second, by rank, as seen by
	// requests that found others ahead; zero if unknown.
	starts [demand.Priorities]float64
	// prefill is the number of prompt tokens sent by this daemon for which no event came yet.
	prefill int
	// latency is the moving average of the time to the first byte of an answer; zero if unknown.
	latency time.Duration
	// failures is the moving average of failed attempts, from zero to one.
	failures float64
	// streak is the number of failures since the last success.
	streak int
	// barredUntil is the time before which it gets requests only if no other replica can serve.
	barredUntil time.Time
	// used is when it got its last request.
	used time.Time
}

// The weights of moving averages: the part that the newest value contributes.
const (
	latencyWeight = 0.15
	failureWeight = 0.12
	startsWeight  = 0.3
)

// inFlight returns the number of requests at the replica, as far as known.
func (load *load) inFlight() int {
	return load.own.Running + load.others.Running
}

// ahead returns the number of requests that get their first event before a new one of the rank.
func (load *load) ahead(rank int) int {
	return max(0, load.own.Ahead(rank)+load.others.Ahead(rank))
}

// wait returns when a new request of the rank is expected to get its first event, or zero if nothing
// is known that makes it wait.
func (load *load) wait(rank int) time.Duration {
	ahead := load.ahead(rank)
	if ahead == 0 || load.starts[rank] == 0 {
		return 0
	}
	return time.Duration(float64(ahead+1) / load.starts[rank] * float64(time.Second))
}

// start learns from a request that found others ahead of it and got its first event after the wait.
// Without an event the rate is at most what the wait tells.
func (load *load) start(rank, ahead int, wait time.Duration, begun bool) {
	if ahead == 0 || wait <= 0 {
		return
	}
	rate := float64(ahead+1) / wait.Seconds()
	last := load.starts[rank]
	switch {
	case last == 0 && begun:
		load.starts[rank] = rate
	case begun || rate < last:
		load.starts[rank] += startsWeight * (rate - last)
	}
}

func (load *load) observe(latency time.Duration) {
	if load.latency == 0 {
		load.latency = latency
		return
	}
	load.latency += time.Duration(latencyWeight * float64(latency-load.latency))
}

func (load *load) fail(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	load.failures += failureWeight * (value - load.failures)
}
