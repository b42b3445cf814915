package admission

import "time"

const (
	// rateHalfLife is the time in which the weight of starts in the rate halves.
	rateHalfLife = 1500 * time.Millisecond
	// minBusy is the time with waiting requests from which the rate is known.
	minBusy = 250 * time.Millisecond
	// shortestBusy keeps the rate finite.
	shortestBusy = 20 * time.Millisecond
	// minStarts is the decayed number of starts from which a queue moves.
	minStarts = 0.5
)

// rate measures how many requests, and tokens of their prompts, start per second while requests wait. Starts at other times show
// the demand and not the capacity. The zero value has no measurement.
type rate struct {
	starts, tokens, busy decayedCount
	// busySince is the time up to which busy has counted; zero while no request waits.
	busySince time.Time
}

// begin records that a request waits from now on.
func (rate *rate) begin(now time.Time) {
	rate.busySince = now
}

// end records that no request waits any more.
func (rate *rate) end(now time.Time) {
	rate.advance(now)
	rate.busySince = time.Time{}
}

// advance counts the time up to now as busy, if requests wait.
func (rate *rate) advance(now time.Time) {
	if !rate.busySince.IsZero() && now.After(rate.busySince) {
		rate.busy.add(now.Sub(rate.busySince).Seconds(), rateHalfLife, now)
		rate.busySince = now
	}
}

// start counts the start of a request while others wait.
func (rate *rate) start(tokens int, now time.Time) {
	rate.starts.add(1, rateHalfLife, now)
	rate.tokens.add(float64(tokens), rateHalfLife, now)
}

// perSecond returns the starts and prompt tokens per second, and whether they were measured long enough to be relied upon. The start
// that is to come is counted, so that the rate of a queue without starts falls as time passes.
func (rate *rate) perSecond(now time.Time) (starts, tokens float64, known bool) {
	rate.advance(now)
	busy := rate.busy.at(rateHalfLife, now)
	seconds := max(busy, shortestBusy.Seconds())
	return (rate.starts.at(rateHalfLife, now) + 1) / seconds, rate.tokens.at(rateHalfLife, now) / seconds, busy >= minBusy.Seconds()
}

// isMoving reports whether requests started lately while others waited.
func (rate *rate) isMoving(now time.Time) bool {
	return rate.starts.at(rateHalfLife, now) >= minStarts
}
