package keepwarm

import (
	"math"
	"time"
)

// dayRates is the forecast of one day, made at its beginning or the day before.
type dayRates struct {
	// day is the number of the day.
	day int
	// made is the day on which the forecast was made.
	made int
	// rate holds for each bin the arrivals a second that the time of the week lets expect.
	rate [binsPerDay]float32
	// burst holds for each bin the number of arrivals to expect after the first.
	burst [binsPerDay]float32
}

// newDayRates makes the forecast of a day. It costs about 30 searches among the cells for each bin.
func newDayRates(history *history, day int) *dayRates {
	rates := &dayRates{day: day, made: history.total.day}
	for timeOfDay := range binsPerDay {
		bin := weekday(day)*binsPerDay + timeOfDay
		rates.rate[timeOfDay] = float32(history.rate(bin))
		rates.burst[timeOfDay] = float32(history.burst(timeOfDay))
	}
	return rates
}

// rate returns the arrivals a second that the time of the week lets expect. It
// costs 21 searches among the cells.
func (history *history) rate(bin int) float64 {
	likelihood := history.total.blend(history.total.forecast(bin, history.mean))
	return -math.Log1p(-likelihood) / binLength.Seconds()
}

// burst returns the number of arrivals to expect in a bin after the first.
func (history *history) burst(timeOfDay int) float64 {
	days, requests := 1.0, 1.0
	for past := range daysPerWeek {
		cell := history.total.cells.at(past*binsPerDay + timeOfDay)
		days += float64(cell.days)
		requests += float64(cell.requests)
	}
	return requests/days - 1
}

// ahead returns the forecast of the day and of the place in it. Two days are kept.
func (history *history) ahead(grid grid, at time.Time) (*dayRates, int) {
	day := grid.day(at)
	kept := &history.rates[day&1]
	if *kept == nil || (*kept).day != day || (*kept).made != history.total.day {
		*kept = newDayRates(history, day)
	}
	return *kept, grid.bin(at) % binsPerDay
}
