package quota

import "time"

// asker is what a grantor knows of a daemon that asks for one account.
type asker struct {
	// at is the time of the last question, and demand what its requests cost per second.
	at     time.Time
	demand float64
	// pause is the time within which its next question is expected, as long as its demand lasts.
	pause time.Duration
	// closed is set if the daemon said that it has no demand any more.
	closed bool
	// sequence is the number of the last question, and granted the amount of the response.
	sequence uint64
	granted  float64
	// unmet is what its waiting requests lacked after the response.
	unmet float64
	// held is the most that the daemon can use, and heldUntil when the last of it expires.
	held      float64
	heldUntil time.Time
}

// usable returns the most that the daemon can still use.
func (asker *asker) usable(now time.Time) float64 {
	if !now.Before(asker.heldUntil) {
		return 0
	}
	return asker.held
}

// isLate reports whether the question was asked before another one that was answered already.
func (asker *asker) isLate(ask Ask) bool {
	return ask.Answered > 0 && ask.Sequence <= asker.sequence
}

// returned returns what comes back with the question, with the amount of the last response if that did not arrive. A process that got no
// response yet may be a new one, whose predecessor used that amount.
func (asker *asker) returned(ask Ask) float64 {
	back := max(ask.Returned, 0)
	if ask.Answered > 0 && ask.Answered < asker.sequence {
		back += asker.granted
	}
	return back
}

// missedArrivals is the number of mean intervals between requests after which a daemon counts as silent, and maxPause the longest time.
const (
	missedArrivals = 3
	maxPause       = 4 * time.Second
)

// observe records a question and the time until the next one that the daemon was told.
func (asker *asker) observe(ask Ask, next time.Duration, now time.Time) {
	asker.at, asker.demand, asker.closed = now, ask.Demand, ask.Closing
	asker.pause = 0
	if ask.Demand > 0 {
		asker.pause = min(next+seconds(missedArrivals*ask.Mean/ask.Demand), maxPause)
	}
}

// isSilent reports whether the daemon did not ask for at least the given time, and for longer than its demand explains.
func (asker *asker) isSilent(least time.Duration, now time.Time) bool {
	return now.Sub(asker.at) > max(least, asker.pause)
}
