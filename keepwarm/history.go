package keepwarm

import "time"

// weeklyDecay is the factor by which counts are multiplied at the end of each week.
const weeklyDecay = 0.8

// maxWeeks is the number of weeks after which a count has practically decayed to nothing and is deleted.
const maxWeeks = 40

// counts contains what was learned about one model. Counts are additive: the sum of the counts of two savers is what
// one saver would have counted.
type counts struct {
	// day is the number of the first day that is not yet included in exposure.
	day int
	// exposure is the decayed number of complete days observed, for each weekday.
	exposure [daysPerWeek]float32
	// cells contains the arrivals by bin of the week.
	cells cells
	// scores contains the decayed log-likelihood of the arrivals under each pattern.
	scores [patternCount]float32
	// ages contains the arrivals by age class.
	ages ages
}

// newCounts returns empty counts whose observation begins on the day.
func newCounts(day int) counts {
	return counts{day: day}
}

// roll adds the days that ended before the given day to the exposure, and decays the counts at the end of each week.
func (counts *counts) roll(day int) {
	if day-counts.day > maxWeeks*daysPerWeek {
		*counts = newCounts(day)
		return
	}
	for ; counts.day < day; counts.day++ {
		counts.exposure[weekday(counts.day)]++
		if weekday(counts.day+1) == 0 {
			counts.decay(weeklyDecay)
		}
	}
}

func (counts *counts) decay(factor float32) {
	for weekday := range counts.exposure {
		counts.exposure[weekday] *= factor
	}
	counts.cells = counts.cells.decay(factor)
	for pattern := range counts.scores {
		counts.scores[pattern] *= factor
	}
	counts.ages.decay(factor)
}

// merge adds the counts of another saver, which must have been rolled to the same day.
func (counts *counts) merge(other *counts) {
	for weekday, days := range other.exposure {
		counts.exposure[weekday] += days
	}
	for _, cell := range other.cells {
		counts.cells = counts.cells.add(int(cell.bin), cell.days, cell.requests)
	}
	for pattern, score := range other.scores {
		counts.scores[pattern] += score
	}
	counts.ages.add(&other.ages)
}

// history contains the statistics of one model.
type history struct {
	// total is what all savers learned, as far as it was restored, plus unsaved.
	total counts
	// unsaved is what was learned here since the last save.
	unsaved counts
	// mean is the mean probability of an arrival in a bin, computed from total.
	mean float64
	// rates caches the forecasts of two days.
	rates [2]*dayRates
	// dirty reports whether unsaved contains arrivals.
	dirty bool
	// last is the time of the last arrival, or zero if none is known.
	last time.Time
	// lastBin is the bin of the week and lastDay the day of the last arrival.
	lastBin, lastDay int
}

func newHistory(day int) *history {
	return &history{total: newCounts(day), unsaved: newCounts(day)}
}

// roll scores and adds the days that ended. Its cost is proportional to their number.
func (history *history) roll(day int) {
	if history.total.day == day {
		return
	}
	first := max(history.total.day, day-maxWeeks*daysPerWeek)
	for ended := first; ended < day; ended++ {
		history.scoreDayEnd(weekday(ended))
		history.total.roll(ended + 1)
		history.unsaved.roll(ended + 1)
	}
	history.mean = history.total.meanProbability()
}

// forBoth calls the function for total and for unsaved.
func (history *history) forBoth(change func(*counts)) {
	change(&history.total)
	change(&history.unsaved)
}

// recordArrivals adds n arrivals and returns the ages of the idle time that they end.
func (history *history) recordArrivals(grid grid, now time.Time, n int) ages {
	day, bin := grid.day(now), grid.bin(now)
	history.roll(day)
	days := float32(1)
	if !history.last.IsZero() && history.lastBin == bin && history.lastDay == day {
		days = 0
	}
	if days > 0 {
		history.scoreArrival(bin)
	}
	var idleAges ages
	if !history.last.IsZero() {
		idleAges = history.idleAges(grid, now)
		history.forBoth(func(counts *counts) { counts.ages.add(&idleAges) })
	}
	history.forBoth(func(counts *counts) { counts.cells = counts.cells.add(bin, days, float32(n)) })
	history.mean = history.total.meanProbability()
	history.last, history.lastBin, history.lastDay = now, bin, day
	history.dirty = true
	return idleAges
}

// advanceLast sets the last arrival to one that another saver recorded, if that is later.
func (history *history) advanceLast(grid grid, last time.Time) {
	if !last.After(history.last) {
		return
	}
	history.last = last
	history.lastBin, history.lastDay = grid.bin(last), grid.day(last)
}

// idleAges returns the ages of the idle time that ends now.
func (history *history) idleAges(grid grid, now time.Time) ages {
	var idleAges ages
	length := max(now.Sub(history.last), 0)
	ended := ageClass(length)
	idleAges.ends[ended] = 1
	for class := 0; class <= ended; class++ {
		from := ageBounds[class]
		to := min(ageBounds[class+1], length)
		if class < shortAges {
			idleAges.risk[class] = float32((to - from).Seconds())
			continue
		}
		idleAges.risk[class] = float32(history.expected(grid, history.last.Add(from), to-from))
	}
	return idleAges
}

// expectedSamples is the number of points at which the forecast is sampled within one age class.
const expectedSamples = 6

// expected returns the number of arrivals expected from the time of the week.
func (history *history) expected(grid grid, from time.Time, length time.Duration) float64 {
	sum := 0.0
	step := length / expectedSamples
	for sample := range expectedSamples {
		at := from.Add(step*time.Duration(sample) + step/2)
		sum += history.rate(grid.bin(at)) * step.Seconds()
	}
	return sum
}
