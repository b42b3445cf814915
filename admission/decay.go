package admission

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/decay"
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
	return count.value * decay.Weight(now.Sub(count.as), halfLife)
}
