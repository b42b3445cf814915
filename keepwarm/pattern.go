package keepwarm

import "math"

// A pattern is a way to forecast the arrivals of a day from those of earlier days. The forecasts of the patterns are
// averaged for each model, weighted by their likelihood so far.
const (
	// weekly uses earlier days with the same weekday.
	weekly = iota
	// daily uses all earlier days alike.
	daily
	// workingDay distinguishes weekends from other days.
	workingDay
	patternCount
)

// patternWeight returns the weight that a pattern gives to a past weekday in the forecast of a weekday.
func patternWeight(pattern, weekdayPast, weekdayNow int) float64 {
	switch pattern {
	case weekly:
		if weekdayPast == weekdayNow {
			return 1
		}
		return 0
	case workingDay:
		if weekend(weekdayPast) == weekend(weekdayNow) {
			return 1
		}
		return 0
	default:
		return 1
	}
}

// Parameters of the forecast by pattern.
const (
	// pseudoDays is the weight, in days, of the mean of all bins in the forecast of one bin.
	pseudoDays = 0.3
	// maxProbability is the upper bound of the probability of an arrival in one bin.
	maxProbability = 0.97
	// minProbability is the lower bound of the probability in scores.
	minProbability = 1e-4
)

// smoothingWeights contains the weights of a bin and its two neighbours.
var smoothingWeights = [3]float64{0.25, 0.5, 0.25}

// forecast contains for each pattern the probability that a bin has an arrival.
type forecast [patternCount]float64

// forecast returns the probabilities for a bin of the week, where mean is the mean probability of all bins. It costs
// 21 searches among the cells.
func (counts *counts) forecast(bin int, mean float64) forecast {
	var sums, exposures forecast
	weekdayNow := bin / binsPerDay
	timeOfDay := bin % binsPerDay
	for weekdayPast := range daysPerWeek {
		days := 0.0
		for index, weight := range smoothingWeights {
			neighbour := weekdayPast*binsPerDay + timeOfDay + index - 1
			days += weight * float64(counts.cells.at((neighbour+binsPerWeek)%binsPerWeek).days)
		}
		for pattern := range patternCount {
			weight := patternWeight(pattern, weekdayPast, weekdayNow)
			sums[pattern] += weight * days
			exposures[pattern] += weight * float64(counts.exposure[weekdayPast])
		}
	}
	for pattern := range patternCount {
		sums[pattern] = (sums[pattern] + pseudoDays*mean) / (exposures[pattern] + pseudoDays)
	}
	return sums
}

// meanProbability returns the mean probability of an arrival in a bin.
func (counts *counts) meanProbability() float64 {
	exposure, days := 0.0, 0.0
	for _, observed := range counts.exposure {
		exposure += float64(observed)
	}
	for _, cell := range counts.cells {
		days += float64(cell.days)
	}
	return min(days/(exposure+1)/float64(binsPerDay), maxProbability)
}

// activeBins returns for each pattern the expected number of bins with an arrival in a day with the given weekday.
func (counts *counts) activeBins(weekdayNow int) forecast {
	var active [daysPerWeek]float64
	for _, cell := range counts.cells {
		active[int(cell.bin)/binsPerDay] += float64(cell.days)
	}
	var sums, exposures forecast
	for weekdayPast := range daysPerWeek {
		for pattern := range patternCount {
			weight := patternWeight(pattern, weekdayPast, weekdayNow)
			sums[pattern] += weight * active[weekdayPast]
			exposures[pattern] += weight * float64(counts.exposure[weekdayPast])
		}
	}
	for pattern := range patternCount {
		sums[pattern] /= exposures[pattern] + pseudoDays
	}
	return sums
}

// scoreDayEnd updates the score of each pattern when a day ends. It subtracts the expected number of active bins, as in
// the log-likelihood of a Poisson process.
func (history *history) scoreDayEnd(weekday int) {
	active := history.total.activeBins(weekday)
	history.forBoth(func(counts *counts) {
		for pattern, bins := range active {
			counts.scores[pattern] -= float32(bins)
		}
	})
}

// scoreArrival updates the score of each pattern when a bin has an arrival.
func (history *history) scoreArrival(bin int) {
	forecast := history.total.forecast(bin, history.mean)
	history.forBoth(func(counts *counts) {
		for pattern, probability := range forecast {
			counts.scores[pattern] += float32(math.Log(max(probability, minProbability)))
		}
	})
}

// blend returns the mean of the forecasts, weighted by the scores of the patterns.
func (counts *counts) blend(forecast forecast) float64 {
	best := counts.scores[0]
	for _, score := range counts.scores {
		best = max(best, score)
	}
	sum, weights := 0.0, 0.0
	for pattern, probability := range forecast {
		weight := math.Exp(float64(counts.scores[pattern] - best))
		sum += weight * probability
		weights += weight
	}
	return min(sum/weights, maxProbability)
}
