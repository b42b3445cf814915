package arrivals

import "time"

// Numbers of Yamabuki's models by kind: 50 models and 56 adapters in total.
const (
	yamabukiPlanners    = 18
	yamabukiRewriters   = 12
	yamabukiJobs        = 8
	yamabukiRare        = 12
	yamabukiAdapters    = 56
	yamabukiLoadsAtOnce = 4
)

var (
	workdays = weekdayFactors{0, 1, 1, 1, 1, 1, 0.8}
	allWeek  = weekdayFactors{0.8, 1, 1, 1, 1, 1, 1}
)

// Yamabuki generates a workload of delivery rounds planned at dawn, orders rewritten in the
// afternoon, jobs and rarely used models. There are almost no requests at night.
func Yamabuki(seed uint64, days int) Workload {
	builder := newBuilder("Yamabuki", seed, days)
	var shared []int
	for rank := range yamabukiPlanners {
		shared = append(shared, builder.addModel("planner", rank, builder.dawn(zipf(60, rank)), sessions{
			from: timeOfDay(6), to: timeOfDay(11), perDay: zipf(10, rank), requests: 3, thinkTime: 40 * time.Second, weekdayFactors: workdays,
		}))
	}
	for rank := range yamabukiRewriters {
		shared = append(shared, builder.addModel("rewriter", rank, builder.afternoon(zipf(25, rank))))
	}
	for number := range yamabukiJobs {
		builder.addModel("job", number, builder.job(number))
	}
	for rank := range yamabukiRare {
		builder.addModel("rare", rank, sessions{
			from: timeOfDay(6), to: timeOfDay(19), perDay: zipf(2, rank), requests: 3, thinkTime: 40 * time.Second, weekdayFactors: allWeek,
		})
	}
	for number := range yamabukiAdapters {
		model := shared[builder.random.IntN(len(shared))]
		if model < yamabukiPlanners {
			builder.addSources(model, builder.dawn(zipf(10, number%10)))
			continue
		}
		builder.addSources(model, builder.afternoon(zipf(4, number%10)))
	}
	return builder.build(yamabukiLoadsAtOnce)
}

func (builder *builder) dawn(meanRequests float64) source {
	return burst{
		opensAt:        builder.drawDuration(timeOfDay(4), timeOfDay(5.5)),
		jitter:         8 * time.Minute,
		meanRequests:   meanRequests,
		meanDelay:      12 * time.Minute,
		weekdayFactors: workdays,
	}
}

func (builder *builder) afternoon(perDay float64) source {
	return sessions{
		from:           builder.drawDuration(timeOfDay(13), timeOfDay(15)),
		to:             builder.drawDuration(timeOfDay(17), timeOfDay(19)),
		perDay:         perDay,
		requests:       4,
		thinkTime:      45 * time.Second,
		weekdayFactors: workdays,
	}
}

// job returns a job with one of six intervals, chosen by its number.
func (builder *builder) job(number int) source {
	intervals := []time.Duration{24 * time.Hour, 12 * time.Hour, 4 * time.Hour, 2 * time.Hour, 90 * time.Minute, 5 * time.Hour}
	interval := intervals[number%len(intervals)]
	return job{
		first:    builder.drawDuration(0, min(interval, day)),
		interval: interval,
		jitter:   30 * time.Second,
		requests: 1 + builder.random.IntN(6),
	}
}
