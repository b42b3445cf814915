package pace

import "math"

const (
	// minObservations is the number of observations without which a replica is not compared.
	minObservations = 4.0
	// noiseErrors is the number of standard errors within which a difference counts as none. Observations of one stream resemble each
	// other, so that standard errors are underestimated.
	noiseErrors = 3.0
	// sameSpeed is the difference of logarithms within which speeds count as the same.
	sameSpeed = 0.1
	// pauseErrors is the same for late pauses: one pause makes all streams of its replica late.
	pauseErrors = 6.0
	// minVariance bounds the variance of an observation from below, for services with few observations.
	minVariance = 0.01
)

// comparison compares the replicas of one service by one regression with a common slope.
type comparison struct {
	slope, level, variance float64
}

// newComparison returns the comparison of the regressions, and false if fewer than two replicas have enough observations. The level is
// the mean over replicas, so that those with more requests do not count for more.
func newComparison(regressions func(yield func(*Regression))) (comparison, bool) {
	var sumXX, sumXY, sumYY, count, replicas float64
	regressions(func(regression *Regression) {
		if regression.Count < minObservations {
			return
		}
		xx, xy, yy := regression.within()
		sumXX, sumXY, sumYY = sumXX+xx, sumXY+xy, sumYY+yy
		count += regression.Count
		replicas++
	})
	if replicas < 2 {
		return comparison{}, false
	}
	made := comparison{}
	if sumXX > 0 {
		// A negative slope has other causes than the load.
		made.slope = max(sumXY/sumXX, 0)
	}
	unexplained := sumYY - 2*made.slope*sumXY + made.slope*made.slope*sumXX
	made.variance = max(unexplained/max(count-replicas, 1), minVariance)
	regressions(func(regression *Regression) {
		if regression.Count >= minObservations {
			made.level += regression.level(made.slope) / replicas
		}
	})
	return made, true
}

// logSpeed returns the logarithm of the speed of a replica relative to the level, and its variance, which is infinite without enough
// observations.
func (comparison comparison) logSpeed(regression *Regression) (speed, variance float64) {
	if regression.Count < minObservations {
		return 0, math.Inf(1)
	}
	return comparison.level - regression.level(comparison.slope), comparison.variance / regression.Count
}

// beyondNoise returns the difference, shrunk to zero within the bound and hardly changed far beyond it.
func beyondNoise(difference, bound float64) float64 {
	if math.Abs(difference) <= bound {
		return 0
	}
	ratio := bound / difference
	return difference * (1 - ratio*ratio)
}
