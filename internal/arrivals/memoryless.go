package arrivals

import (
	"math/rand/v2"
	"time"
)

// Numbers of the workload without rhythm.
const (
	memorylessModels = 50
	memorylessLoads  = 4
)

// Memoryless makes a workload that no past helps to forecast but for its
// rates: single requests at any time of any day.
func Memoryless(seed uint64, days int) Workload {
	builder := newBuilder("Memoryless", seed, days)
	for number := range builder.calendar.busyness {
		builder.calendar.busyness[number] = 1
	}
	for rank := range memorylessModels {
		builder.model("any", rank, uniform{perDay: zipf(100, rank)})
	}
	return builder.finish(memorylessLoads)
}

// uniform is a Poisson process with a constant rate.
type uniform struct {
	perDay float64
}

func (uniform uniform) times(random *rand.Rand, calendar calendar) []time.Time {
	var times []time.Time
	length := time.Duration(calendar.days) * day
	for range poisson(random, uniform.perDay*float64(calendar.days)) {
		times = append(times, calendar.start.Add(time.Duration(random.Float64()*float64(length))))
	}
	return times
}
