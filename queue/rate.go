package queue

import "time"

// smoothing is the weight of a new observation in a mean.
const smoothing = 0.1

// Rate measures how long requests hold their places. The zero value knows nothing.
type Rate struct {
	// hold is the mean time in seconds that a request holds its place.
	hold float64
	// cost is the mean cost of a request in tokens.
	cost float64
}

// Observe notes that a request of the cost held its place for the time and was answered.
func (rate *Rate) Observe(cost int, hold time.Duration) {
	if rate.hold == 0 {
		rate.hold, rate.cost = hold.Seconds(), float64(max(cost, 1))
		return
	}
	rate.hold += smoothing * (hold.Seconds() - rate.hold)
	rate.cost += smoothing * (float64(max(cost, 1)) - rate.cost)
}

// Wait returns the time in which places free up for that many tokens while running requests hold
// places, and false if nothing was measured yet or nothing runs.
func (rate *Rate) Wait(tokens float64, running int) (time.Duration, bool) {
	if rate.hold <= 0 || running <= 0 {
		return 0, false
	}
	seconds := tokens / rate.cost * rate.hold / float64(running)
	return time.Duration(seconds * float64(time.Second)), true
}
