package keepwarm

import (
	"math"
	"time"
)

// dayRates is the forecast for one day, made at its beginning or on the day before.
type dayRates struct {
	// day is the number of the day.
	day int
	// madeOn is the number of the day on which the forecast was made.
	madeOn int
	// rate contains for each bin the arrivals per second expected from the time of the week.
	rate [binsPerDay]float32
	// burst contains for each bin the expected number of arrivals after the first.
	burst [binsPerDay]float32
}

// newDayRates computes the forecast of a day. It costs about 30 searches among the cells for each bin.
func newDayRates(history *history, day int) *dayRates {
	rates := &dayRates{day: day, madeOn: history.total.day}
	for timeOfDay := range binsPerDay {
		bin := weekday(day)*binsPerDay + timeOfDay
		rates.rate[timeOfDay] = float32(history.rate(bin))
		rates.burst[timeOfDay] = float32(history.burst(timeOfDay))
	}
	return rates
}

// rate returns the arrivals per second expected from the time of the week. It costs 21 searches among the cells.
func (history *history) rate(bin int) float64 {
	probability := history.total.blend(history.total.forecast(bin, history.mean))
	return -math.Log1p(-probability) / binLength.Seconds()
}

// burst returns the expected number of arrivals in a bin after the first.
func (history *history) burst(timeOfDay int) float64 {
	days, requests := 1.0, 1.0
	for past := range daysPerWeek {
		cell := history.total.cells.at(past*binsPerDay + timeOfDay)
		days += float64(cell.days)
		requests += float64(cell.requests)
	}
	return requests/days - 1
}

// forecastAt returns the forecast for the day of the given time, and the index of its bin in that day. The forecasts
// of two days are cached.
func (history *history) forecastAt(grid grid, at time.Time) (*dayRates, int) {
	day := grid.day(at)
	kept := &history.rates[day&1]
	if *kept == nil || (*kept).day != day || (*kept).madeOn != history.total.day {
		*kept = newDayRates(history, day)
	}
	return *kept, grid.bin(at) % binsPerDay
}
