package keepwarm

import (
	"maps"
	"time"
)

// Statistics holds what was learnt of all models. Use NewBook. It is not safe for concurrent use.
type Statistics struct {
	grid      grid
	histories map[string]*history
	// pool sums the ages of all models.
	pool ages
	// freshPool is the part of pool that was learnt here since the last save.
	freshPool ages
	// week is the number of the week up to which pool is decayed.
	week int
	// sequence counts the changes taken.
	sequence uint64
	// newest is the latest time of an arrival.
	newest time.Time
}

// NewStatistics returns an empty book whose days begin at midnight in the location.
func NewStatistics(location *time.Location) *Statistics {
	return &Statistics{grid: grid{location: location}, histories: map[string]*history{}}
}

// Models returns the number of models that were asked for.
func (book *Statistics) Models() int {
	return len(book.histories)
}

// arrive enters n arrivals of a model. A time before the newest is taken as the newest.
func (book *Statistics) arrive(model string, now time.Time, n int) {
	if now.Before(book.newest) {
		now = book.newest
	}
	book.newest = now
	book.rollPool(book.grid.day(now))
	known, ok := book.histories[model]
	if !ok {
		known = newHistory(book.grid.day(now))
		book.histories[model] = known
	}
	gap := known.arrive(book.grid, now, n)
	book.pool.add(&gap)
	book.freshPool.add(&gap)
}

// rollPool decays the pool at the end of weeks, and drops models that were not asked for in many.
func (book *Statistics) rollPool(day int) {
	week := int(floorDivide(int64(day), daysPerWeek))
	if book.week == 0 {
		book.week = week
	}
	if book.week >= week {
		return
	}
	for ; book.week < week; book.week++ {
		book.pool.decay(weekDecay)
		book.freshPool.decay(weekDecay)
	}
	maps.DeleteFunc(book.histories, func(_ string, history *history) bool {
		return history.lastDay < day-mostWeeks*daysPerWeek
	})
}
