// Package decay weights observations by their age, for sums and rates that follow recent events.
package decay

import (
	"math"
	"time"
)

// Weight returns the weight of an observation of the age, which halves in each half-life. It is one for a negative age.
func Weight(age, halfLife time.Duration) float64 {
	return math.Exp2(-max(age, 0).Seconds() / halfLife.Seconds())
}

// Rate returns the events per second that a sum of events with such weights stands for, as it was at the age.
func Rate(sum float64, age, halfLife time.Duration) float64 {
	return sum * Weight(age, halfLife) * math.Ln2 / halfLife.Seconds()
}
