package keepwarm

import "math"

// A rhythm is a way to forecast the arrivals of a day from those of earlier
// days. Each model weighs the rhythms by how well they forecast it so far.
const (
	// weekly looks at the same weekday.
	weekly = iota
	// daily looks at all days alike.
	daily
	// working tells the weekend from other days.
	working
	rhythms
)

// similar returns the weight that a rhythm gives to a weekday for the forecast of another.
func similar(rhythm, weekdayPast, weekdayNow int) float64 {
	switch rhythm {
	case weekly:
		if weekdayPast == weekdayNow {
			return 1
		}
		return 0
	case working:
		if weekend(weekdayPast) == weekend(weekdayNow) {
			return 1
		}
		return 0
	default:
		return 1
	}
}

// Parameters of the forecast by rhythm.
const (
	// pseudoDays is the weight of the mean of all bins in the forecast of one bin.
	pseudoDays = 0.3
	// mostLikely bounds the probability of an arrival in one bin.
	mostLikely = 0.97
	// leastLikely bounds it from below in scores.
	leastLikely = 1e-4
)

// smooth holds the weights of a bin and its neighbours.
var smooth = [3]float64{0.25, 0.5, 0.25}

// forecast holds for each rhythm the probability that a bin has an arrival.
type forecast [rhythms]float64

// forecast returns the probabilities for a bin of the week, where mean is that of any bin. It costs 21 searches among the cells.
func (counts *counts) forecast(bin int, mean float64) forecast {
	var sums, exposures forecast
	now := bin / binsPerDay
	timeOfDay := bin % binsPerDay
	for past := range daysPerWeek {
		days := 0.0
		for place, weight := range smooth {
			neighbour := past*binsPerDay + timeOfDay + place - 1
			days += weight * float64(counts.cells.at((neighbour+binsPerWeek)%binsPerWeek).days)
		}
		for rhythm := range rhythms {
			weight := similar(rhythm, past, now)
			sums[rhythm] += weight * days
			exposures[rhythm] += weight * float64(counts.exposure[past])
		}
	}
	for rhythm := range rhythms {
		sums[rhythm] = (sums[rhythm] + pseudoDays*mean) / (exposures[rhythm] + pseudoDays)
	}
	return sums
}

// meanLikelihood returns the probability of an arrival in any bin.
func (counts *counts) meanLikelihood() float64 {
	exposure, days := 0.0, 0.0
	for _, watched := range counts.exposure {
		exposure += float64(watched)
	}
	for _, cell := range counts.cells {
		days += float64(cell.days)
	}
	return min(days/(exposure+1)/float64(binsPerDay), mostLikely)
}

// activeBins holds for each rhythm the number of bins of a day that are forecast to have an arrival.
func (counts *counts) activeBins(weekdayNow int) forecast {
	var active [daysPerWeek]float64
	for _, cell := range counts.cells {
		active[int(cell.bin)/binsPerDay] += float64(cell.days)
	}
	var sums, exposures forecast
	for past := range daysPerWeek {
		for rhythm := range rhythms {
			weight := similar(rhythm, past, weekdayNow)
			sums[rhythm] += weight * active[past]
			exposures[rhythm] += weight * float64(counts.exposure[past])
		}
	}
	for rhythm := range rhythms {
		sums[rhythm] /= exposures[rhythm] + pseudoDays
	}
	return sums
}

// scoreDay tells each rhythm that a day of the week has ended.
func (history *history) scoreDay(weekday int) {
	active := history.total.activeBins(weekday)
	history.each(func(counts *counts) {
		for rhythm, bins := range active {
			counts.scores[rhythm] -= float32(bins)
		}
	})
}

// score tells each rhythm that the bin has an arrival.
func (history *history) score(bin int) {
	forecast := history.total.forecast(bin, history.mean)
	history.each(func(counts *counts) {
		for rhythm, likelihood := range forecast {
			counts.scores[rhythm] += float32(math.Log(max(likelihood, leastLikely)))
		}
	})
}

// blend returns the forecasts weighed by the scores of the rhythms.
func (counts *counts) blend(forecast forecast) float64 {
	best := counts.scores[0]
	for _, score := range counts.scores {
		best = max(best, score)
	}
	sum, weights := 0.0, 0.0
	for rhythm, likelihood := range forecast {
		weight := math.Exp(float64(counts.scores[rhythm] - best))
		sum += weight * likelihood
		weights += weight
	}
	return min(sum/weights, mostLikely)
}
