package arrivals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	gigabyte = 1 << 30
	// dayFactorLogSigma is the standard deviation of the logarithm of the factor of a day.
	dayFactorLogSigma = 0.25
	// serviceMedian and serviceLogSigma are the median and the standard deviation of the logarithm of service times.
	serviceMedian   = 4 * time.Second
	serviceLogSigma = 0.7
	// zipfExponent is the exponent of the Zipf distribution of rates over the ranks of models.
	zipfExponent = 1.3
)

// checkpointSize is a checkpoint size and the number of accelerators that it needs.
type checkpointSize struct {
	gigabytes    int
	accelerators int
}

// sizes are drawn with equal probability.
var sizes = []checkpointSize{{8, 1}, {16, 1}, {16, 1}, {28, 1}, {48, 2}, {80, 4}}

// Load times by tier: a fixed part and a part for each gigabyte.
var (
	loadFixed       = [Tiers]time.Duration{10 * time.Second, 6 * time.Second, 4 * time.Second}
	loadPerGigabyte = [Tiers]time.Duration{1250 * time.Millisecond, 500 * time.Millisecond, 160 * time.Millisecond}
)

// builder collects the models and arrivals of a workload.
type builder struct {
	workload Workload
	random   *rand.Rand
	calendar calendar
}

func newBuilder(name string, seed uint64, days int) *builder {
	random := rand.New(rand.NewPCG(seed, uint64(len(name))))
	// The first day is a Monday.
	start := time.Date(2026, time.September, 7, 0, 0, 0, 0, time.UTC)
	calendar := calendar{start: start, days: days}
	for range days {
		calendar.dayFactors = append(calendar.dayFactors, math.Exp(dayFactorLogSigma*random.NormFloat64()))
	}
	workload := Workload{Name: name, Start: start, Days: days}
	return &builder{workload: workload, random: random, calendar: calendar}
}

// addModel adds a model with its sources and returns its index.
func (builder *builder) addModel(kind string, number int, sources ...source) int {
	size := sizes[builder.random.IntN(len(sizes))]
	model := Model{
		Name:         fmt.Sprintf("%s-%02d", kind, number),
		Accelerators: size.accelerators,
		Weights:      int64(size.gigabytes) * gigabyte,
	}
	for tier := range Tiers {
		model.Load[tier] = loadFixed[tier] + time.Duration(size.gigabytes)*loadPerGigabyte[tier]
	}
	index := len(builder.workload.Models)
	builder.workload.Models = append(builder.workload.Models, model)
	builder.addSources(index, sources...)
	return index
}

// addSources adds the arrivals of the sources to a model. Arrivals outside the workload are dropped.
func (builder *builder) addSources(model int, sources ...source) {
	end := builder.workload.End()
	for _, source := range sources {
		for _, at := range source.times(builder.random, builder.calendar) {
			if at.Before(builder.workload.Start) || !at.Before(end) {
				continue
			}
			service := math.Exp(serviceLogSigma*builder.random.NormFloat64()) * float64(serviceMedian)
			arrival := Arrival{At: at, Model: model, Service: time.Duration(service)}
			builder.workload.Arrivals = append(builder.workload.Arrivals, arrival)
		}
	}
}

// build returns the workload with its arrivals in order of time.
func (builder *builder) build(loadsAtOnce int) Workload {
	builder.workload.LoadsAtOnce = loadsAtOnce
	builder.workload.sort()
	return builder.workload
}

// zipf returns the rate of a rank, counted from zero. Rank zero has the highest rate.
func zipf(highest float64, rank int) float64 {
	return highest / math.Pow(float64(rank+1), zipfExponent)
}

// drawDuration draws a duration from a uniform distribution.
func (builder *builder) drawDuration(shortest, longest time.Duration) time.Duration {
	return shortest + time.Duration(builder.random.Float64()*float64(longest-shortest))
}

// timeOfDay returns the time since midnight in hours as a duration.
func timeOfDay(hours float64) time.Duration {
	return time.Duration(hours * float64(time.Hour))
}
