package queue

import "time"

// smoothing is the weight of a new observation in an exponentially weighted mean.
const smoothing = 0.1

// Estimator estimates waiting times from the measured service times of requests. Its zero value has no
// measurements.
type Estimator struct {
	// serviceTime is the mean time in seconds for which a request occupies a slot.
	serviceTime float64
	// firstByte is the mean time in seconds from the grant of a slot to the begin of the response.
	firstByte float64
	// cost is the mean cost of a request in tokens.
	cost float64
}

// Observe records a complete response: firstByte is the time from the grant of its slot to the begin of the
// response, and serviceTime the time for which the request occupied the slot.
func (estimator *Estimator) Observe(cost int, firstByte, serviceTime time.Duration) {
	if estimator.serviceTime == 0 {
		estimator.firstByte, estimator.serviceTime, estimator.cost = firstByte.Seconds(), serviceTime.Seconds(), float64(max(cost, 1))
		return
	}
	estimator.firstByte += smoothing * (firstByte.Seconds() - estimator.firstByte)
	estimator.serviceTime += smoothing * (serviceTime.Seconds() - estimator.serviceTime)
	estimator.cost += smoothing * (float64(max(cost, 1)) - estimator.cost)
}

// TimeToFirstByte returns the mean time from the grant of a slot to the begin of the response.
func (estimator *Estimator) TimeToFirstByte() time.Duration {
	return time.Duration(estimator.firstByte * float64(time.Second))
}

// ServiceTime returns the mean time for which a request occupies a slot, or zero without measurements.
func (estimator *Estimator) ServiceTime() time.Duration {
	return time.Duration(estimator.serviceTime * float64(time.Second))
}

// WaitTime returns the time in which slots become free for that many tokens while running requests occupy
// slots. It returns false without measurements or if nothing runs.
func (estimator *Estimator) WaitTime(tokens float64, running int) (time.Duration, bool) {
	if estimator.serviceTime <= 0 || running <= 0 {
		return 0, false
	}
	seconds := tokens / estimator.cost * estimator.serviceTime / float64(running)
	return time.Duration(seconds * float64(time.Second)), true
}
