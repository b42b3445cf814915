package quota

import (
	"math/rand/v2"
	"time"
)

const (
	// fallbackAfter and fallbackTime are the number of questions in a row without a response, and the time since the last one, after which
	// a daemon uses its equal share of the rate.
	fallbackAfter = 2
	fallbackTime  = 400 * time.Millisecond
	// fallbackSize is the time for which an unused equal share accumulates.
	fallbackSize = 500 * time.Millisecond
)

// fallback is the equal share of the rate that a daemon uses while no grantor answers, without burst.
type fallback struct {
	// active is set while no grantor answers.
	active bool
	// tokens is the amount at updated. A request needs a full bucket and may leave a debt: the shares of many daemons are smaller than
	// one request.
	tokens  float64
	updated time.Time
}

// begin starts the use of the equal share. The debt at the start is random, so that daemons that lose their grantor together do not all
// admit a request at once.
func (fallback *fallback) begin(cost float64, now time.Time, random *rand.Rand) {
	if fallback.active {
		return
	}
	fallback.active = true
	fallback.tokens = min(fallback.tokens, 0) - random.Float64()*cost
	fallback.updated = now
}

// missing returns what must be added before a request of the cost is admitted; zero or less if none is needed.
func (fallback *fallback) missing(cost, perSecond float64, now time.Time) float64 {
	size := perSecond * fallbackSize.Seconds()
	if now.After(fallback.updated) {
		fallback.tokens = min(fallback.tokens+perSecond*now.Sub(fallback.updated).Seconds(), size)
		fallback.updated = now
	}
	return min(cost, size) - fallback.tokens
}
