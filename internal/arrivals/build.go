package arrivals

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

const (
	gigabyte = 1 << 30
	// busynessSpread is the standard deviation of the logarithm of a day's factor.
	busynessSpread = 0.25
	// serviceMedian and serviceSpread shape the time that a request runs.
	serviceMedian = 4 * time.Second
	serviceSpread = 0.7
	// zipfExponent shapes the rates of models by rank.
	zipfExponent = 1.3
)

// size is one size of checkpoints.
type size struct {
	gigabytes    int
	accelerators int
}

// sizes are drawn evenly.
var sizes = []size{{8, 1}, {16, 1}, {16, 1}, {28, 1}, {48, 2}, {80, 4}}

// Rates of loading by tier: a fixed part and seconds for each gigabyte.
var (
	loadFixed       = [Tiers]time.Duration{10 * time.Second, 6 * time.Second, 4 * time.Second}
	loadPerGigabyte = [Tiers]time.Duration{1250 * time.Millisecond, 500 * time.Millisecond, 160 * time.Millisecond}
)

// builder collects the models of a workload.
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
		calendar.busyness = append(calendar.busyness, math.Exp(busynessSpread*random.NormFloat64()))
	}
	workload := Workload{Name: name, Start: start, Days: days}
	return &builder{workload: workload, random: random, calendar: calendar}
}

// model adds a model with its sources.
func (builder *builder) model(kind string, number int, sources ...source) int {
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
	builder.add(index, sources...)
	return index
}

// add adds sources to a model.
func (builder *builder) add(model int, sources ...source) {
	end := builder.workload.End()
	for _, source := range sources {
		for _, at := range source.times(builder.random, builder.calendar) {
			if at.Before(builder.workload.Start) || !at.Before(end) {
				continue
			}
			service := math.Exp(serviceSpread*builder.random.NormFloat64()) * float64(serviceMedian)
			arrival := Arrival{At: at, Model: model, Service: time.Duration(service)}
			builder.workload.Arrivals = append(builder.workload.Arrivals, arrival)
		}
	}
}

// finish returns the workload with its arrivals in order.
func (builder *builder) finish(loadsAtOnce int) Workload {
	builder.workload.LoadsAtOnce = loadsAtOnce
	builder.workload.sort()
	return builder.workload
}

// zipf returns the rate of the rank from zero, where rank zero has the rate top.
func zipf(top float64, rank int) float64 {
	return top / math.Pow(float64(rank+1), zipfExponent)
}

// between draws a duration.
func (builder *builder) between(least, most time.Duration) time.Duration {
	return least + time.Duration(builder.random.Float64()*float64(most-least))
}

// hour returns a time of day.
func hour(hours float64) time.Duration {
	return time.Duration(hours * float64(time.Hour))
}
