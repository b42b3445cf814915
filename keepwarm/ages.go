package keepwarm

import (
	"math"
	"time"
)

// Idle times are divided into age classes: short classes for the pauses within a session, and long classes whose
// bounds grow by a constant factor.
const (
	shortAges  = 8
	longAges   = 34
	ageClasses = shortAges + longAges
	// longFactor is the ratio between the bounds of a long class.
	longFactor = 1.2
	// sessionAge is the lower bound of the first long class.
	sessionAge = 32 * time.Minute
)

// ageBounds contains the lower bound of each class, and the upper bound of the last.
var ageBounds = makeAgeBounds()

func makeAgeBounds() [ageClasses + 1]time.Duration {
	var bounds [ageClasses + 1]time.Duration
	for class := 1; class <= shortAges; class++ {
		bounds[class] = sessionAge >> (shortAges - class)
	}
	for class := shortAges + 1; class < ageClasses; class++ {
		bounds[class] = time.Duration(float64(bounds[class-1]) * longFactor)
	}
	bounds[ageClasses] = math.MaxInt64
	return bounds
}

// ageClass returns the class of an idle time.
func ageClass(age time.Duration) int {
	if age < sessionAge {
		class := 0
		for ageBounds[class+1] <= age {
			class++
		}
		return class
	}
	class := shortAges + int(math.Log(float64(age)/float64(sessionAge))/math.Log(longFactor))
	return min(class, ageClasses-1)
}

// ages counts, for each age class, how often a model's idle time ended in it. Together with the risk this gives a
// hazard rate, as in survival analysis.
type ages struct {
	// ends is the decayed number of arrivals that ended an idle time in the class.
	ends [ageClasses]float32
	// risk is the denominator for ends: the seconds spent in a short class, and the arrivals forecast from the time
	// of the week in a long class.
	risk [ageClasses]float32
}

func (ages *ages) decay(factor float32) {
	for class := range ageClasses {
		ages.ends[class] *= factor
		ages.risk[class] *= factor
	}
}

func (ages *ages) add(other *ages) {
	for class := range ageClasses {
		ages.ends[class] += other.ends[class]
		ages.risk[class] += other.risk[class]
	}
}

// ratio returns ends divided by risk, shrunk towards prior with the weight of the pseudo risk.
func (ages *ages) ratio(class int, prior, pseudo float64) float64 {
	return (float64(ages.ends[class]) + prior*pseudo) / (float64(ages.risk[class]) + pseudo)
}
