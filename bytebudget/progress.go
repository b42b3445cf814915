package bytebudget

import "time"

// progressTick is the time within which bodies count as equally fast. It exceeds the time between two packets of a client that sends.
const progressTick = 250 * time.Millisecond

// progress is how far a body has come. It is immutable.
type progress struct {
	// expected and received are numbers of bytes.
	expected, received int64
	// last is when bytes came last, or when the body was opened.
	last time.Time
}

// withBytes returns the progress after bytes came.
func (state progress) withBytes(bytes int64, now time.Time) progress {
	state.received += bytes
	state.last = now
	return state
}

// behind reports whether the body got its last bytes earlier than another one, or about then and is less complete.
func (state progress) behind(other progress) bool {
	tick, otherTick := state.last.UnixNano()/int64(progressTick), other.last.UnixNano()/int64(progressTick)
	if tick != otherTick {
		return tick < otherTick
	}
	return state.complete() < other.complete()
}

// complete returns the fraction of the body that came.
func (state progress) complete() float64 {
	return float64(state.received) / float64(max(state.expected, 1))
}
