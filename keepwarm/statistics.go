package keepwarm

import (
	"maps"
	"time"
)

// Statistics contains the learned arrival statistics of all models. Use NewStatistics. It is not safe for concurrent
// use.
type Statistics struct {
	grid      grid
	histories map[string]*history
	// pool is the sum of the ages of all models.
	pool ages
	// unsavedPool is the part of pool that was learned here since the last save.
	unsavedPool ages
	// week is the number of the week up to which pool is decayed.
	week int
	// sequence is the number of the last change taken.
	sequence uint64
	// latestArrival is the latest time of an arrival.
	latestArrival time.Time
}

// NewStatistics returns empty statistics whose days begin at midnight in the location.
func NewStatistics(location *time.Location) *Statistics {
	return &Statistics{grid: grid{location: location}, histories: map[string]*history{}}
}

// Models returns the number of models that have statistics.
func (statistics *Statistics) Models() int {
	return len(statistics.histories)
}

// recordArrivals adds n arrivals of a model. A time before the latest arrival is replaced by that time.
func (statistics *Statistics) recordArrivals(model string, now time.Time, n int) {
	if now.Before(statistics.latestArrival) {
		now = statistics.latestArrival
	}
	statistics.latestArrival = now
	statistics.rollPool(statistics.grid.day(now))
	known, ok := statistics.histories[model]
	if !ok {
		known = newHistory(statistics.grid.day(now))
		statistics.histories[model] = known
	}
	idleAges := known.recordArrivals(statistics.grid, now, n)
	statistics.pool.add(&idleAges)
	statistics.unsavedPool.add(&idleAges)
}

// rollPool decays the pool for each week that ended, and deletes models without arrivals for maxWeeks.
func (statistics *Statistics) rollPool(day int) {
	week := int(floorDivide(int64(day), daysPerWeek))
	if statistics.week == 0 {
		statistics.week = week
	}
	if statistics.week >= week {
		return
	}
	for ; statistics.week < week; statistics.week++ {
		statistics.pool.decay(weeklyDecay)
		statistics.unsavedPool.decay(weeklyDecay)
	}
	maps.DeleteFunc(statistics.histories, func(_ string, history *history) bool {
		return history.lastDay < day-maxWeeks*daysPerWeek
	})
}
