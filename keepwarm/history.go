package keepwarm

import "time"

// weekDecay is what a count keeps after a week.
const weekDecay = 0.8

// mostWeeks is the number of weeks after which nothing is left of a count.
const mostWeeks = 40

// counts are what was learnt of one model. They add up: the sum of the counts
// of two observers is the count of both.
type counts struct {
	// day is the number of the last day that was entered into exposure.
	day int
	// exposure is the decayed number of days of each weekday that were watched to their end.
	exposure [daysPerWeek]float32
	// cells are the arrivals by bin of the week.
	cells cells
	// scores are the decayed logarithmic scores of the rhythms.
	scores [rhythms]float32
	// ages are the arrivals by age of idleness.
	ages ages
}

// newCounts returns empty counts that watch from the day on.
func newCounts(day int) counts {
	return counts{day: day}
}

// roll enters the days that ended before the given one.
func (counts *counts) roll(day int) {
	if day-counts.day > mostWeeks*daysPerWeek {
		*counts = newCounts(day)
		return
	}
	for ; counts.day < day; counts.day++ {
		counts.exposure[weekday(counts.day)]++
		if weekday(counts.day+1) == 0 {
			counts.decay(weekDecay)
		}
	}
}

func (counts *counts) decay(factor float32) {
	for weekday := range counts.exposure {
		counts.exposure[weekday] *= factor
	}
	counts.cells = counts.cells.decay(factor)
	for rhythm := range counts.scores {
		counts.scores[rhythm] *= factor
	}
	counts.ages.decay(factor)
}

// merge adds the counts of another observer, whose days must have been rolled to the same day.
func (counts *counts) merge(other *counts) {
	for weekday, days := range other.exposure {
		counts.exposure[weekday] += days
	}
	for _, cell := range other.cells {
		counts.cells = counts.cells.add(int(cell.bin), cell.days, cell.requests)
	}
	for rhythm, score := range other.scores {
		counts.scores[rhythm] += score
	}
	counts.ages.add(&other.ages)
}

// history is what is known of one model.
type history struct {
	// total is what all observers learnt, as far as it was loaded, with what is fresh.
	total counts
	// fresh is what was learnt here since the last save.
	fresh counts
	// mean is the probability of an arrival in any bin, by total.
	mean float64
	// rates holds the forecasts of two days.
	rates [2]*dayRates
	// dirty states that fresh holds arrivals.
	dirty bool
	// last is the time of the last arrival, zero if none was seen here.
	last time.Time
	// lastBin is the bin of the week and lastDay the day of the last arrival.
	lastBin, lastDay int
}

func newHistory(day int) *history {
	return &history{total: newCounts(day), fresh: newCounts(day)}
}

// roll enters the days that ended. It costs one step for each.
func (history *history) roll(day int) {
	if history.total.day == day {
		return
	}
	first := max(history.total.day, day-mostWeeks*daysPerWeek)
	for ended := first; ended < day; ended++ {
		history.scoreDay(weekday(ended))
		history.total.roll(ended + 1)
		history.fresh.roll(ended + 1)
	}
	history.mean = history.total.meanLikelihood()
}

// each calls the function for both counts.
func (history *history) each(change func(*counts)) {
	change(&history.total)
	change(&history.fresh)
}

// arrive enters n arrivals and returns the ages of the idleness that they end.
func (history *history) arrive(grid grid, now time.Time, n int) ages {
	day, bin := grid.day(now), grid.bin(now)
	history.roll(day)
	days := float32(1)
	if !history.last.IsZero() && history.lastBin == bin && history.lastDay == day {
		days = 0
	}
	if days > 0 {
		history.score(bin)
	}
	var gap ages
	if !history.last.IsZero() {
		gap = history.gap(grid, now)
		history.each(func(counts *counts) { counts.ages.add(&gap) })
	}
	history.each(func(counts *counts) { counts.cells = counts.cells.add(bin, days, float32(n)) })
	history.mean = history.total.meanLikelihood()
	history.last, history.lastBin, history.lastDay = now, bin, day
	history.dirty = true
	return gap
}

// recall sets the last arrival to one that another observer saw, if it is later.
func (history *history) recall(grid grid, last time.Time) {
	if !last.After(history.last) {
		return
	}
	history.last = last
	history.lastBin, history.lastDay = grid.bin(last), grid.day(last)
}

// gap returns the ages of the idleness that ends now.
func (history *history) gap(grid grid, now time.Time) ages {
	var gap ages
	length := max(now.Sub(history.last), 0)
	ended := ageClass(length)
	gap.ends[ended] = 1
	for class := 0; class <= ended; class++ {
		from := ageBounds[class]
		to := min(ageBounds[class+1], length)
		if class < shortAges {
			gap.risk[class] = float32((to - from).Seconds())
			continue
		}
		gap.risk[class] = float32(history.expected(grid, history.last.Add(from), to-from))
	}
	return gap
}

// expectedSamples bounds the points at which a forecast is sampled for one class of ages.
const expectedSamples = 6

// expected returns the number of arrivals that the time of the week lets expect.
func (history *history) expected(grid grid, from time.Time, length time.Duration) float64 {
	sum := 0.0
	step := length / expectedSamples
	for sample := range expectedSamples {
		at := from.Add(step*time.Duration(sample) + step/2)
		sum += history.rate(grid.bin(at)) * step.Seconds()
	}
	return sum
}
