package balance

import "time"

// load is what is known of one replica.
type load struct {
	// own is the number of requests in flight from this daemon.
	own int
	// others is the number of requests in flight from other daemons, as they told.
	others int
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
)

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
