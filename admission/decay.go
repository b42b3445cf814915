package admission

import (
	"math"
	"time"
)

// decayedCount is a sum whose parts lose half their weight in a half-life. The zero value is empty.
type decayedCount struct {
	value float64
	as    time.Time
}

// add adds the amount.
func (count *decayedCount) add(amount float64, halfLife time.Duration, now time.Time) {
	count.value = count.at(halfLife, now) + amount
	count.as = now
}

// at returns the sum as of the time.
func (count *decayedCount) at(halfLife time.Duration, now time.Time) float64 {
	passed := now.Sub(count.as)
	if count.value == 0 || passed <= 0 {
		return count.value
	}
	return count.value * math.Exp2(-passed.Seconds()/halfLife.Seconds())
}
