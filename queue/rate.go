package queue

import "time"

// smoothing is the weight of a new observation in a mean.
const smoothing = 0.1

// Estimator measures how long requests hold their places. The zero value knows nothing.
type Estimator struct {
	// hold is the mean time in seconds that a request holds its place.
	hold float64
	// begin is the mean time in seconds from the place to the begin of the answer.
	begin float64
	// cost is the mean cost of a request in tokens.
	cost float64
}

// Observe notes that a request of the cost was answered: begin after it got its place, and whole after hold.
func (rate *Estimator) Observe(cost int, begin, hold time.Duration) {
	if rate.hold == 0 {
		rate.begin, rate.hold, rate.cost = begin.Seconds(), hold.Seconds(), float64(max(cost, 1))
		return
	}
	rate.begin += smoothing * (begin.Seconds() - rate.begin)
	rate.hold += smoothing * (hold.Seconds() - rate.hold)
	rate.cost += smoothing * (float64(max(cost, 1)) - rate.cost)
}

// TimeToFirstByte returns the mean time from the place to the begin of the answer.
func (rate *Estimator) TimeToFirstByte() time.Duration {
	return time.Duration(rate.begin * float64(time.Second))
}

// ServiceTime returns the mean time that a request holds its place, or zero if nothing was measured yet.
func (rate *Estimator) ServiceTime() time.Duration {
	return time.Duration(rate.hold * float64(time.Second))
}

// WaitTime returns the time in which places free up for that many tokens while running requests hold
// places, and false if nothing was measured yet or nothing runs.
func (rate *Estimator) WaitTime(tokens float64, running int) (time.Duration, bool) {
	if rate.hold <= 0 || running <= 0 {
		return 0, false
	}
	seconds := tokens / rate.cost * rate.hold / float64(running)
	return time.Duration(seconds * float64(time.Second)), true
}
