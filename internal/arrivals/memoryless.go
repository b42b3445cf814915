package arrivals

import (
	"math/rand/v2"
	"time"
)

// Size of the workload without a pattern.
const (
	memorylessModels      = 50
	memorylessLoadsAtOnce = 4
)

// Memoryless generates a workload of Poisson arrivals at constant rates: the
// history of a model helps to predict its rate only.
func Memoryless(seed uint64, days int) Workload {
	builder := newBuilder("Memoryless", seed, days)
	for index := range builder.calendar.dayFactors {
		builder.calendar.dayFactors[index] = 1
	}
	for rank := range memorylessModels {
		builder.addModel("any", rank, uniform{perDay: zipf(100, rank)})
	}
	return builder.build(memorylessLoadsAtOnce)
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
