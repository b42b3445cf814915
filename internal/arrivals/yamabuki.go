package arrivals

import "time"

// Kinds and numbers of Yamabuki's models: 50 models and 56 adapters.
const (
	yamabukiPlanners  = 18
	yamabukiRewriters = 12
	yamabukiJobs      = 8
	yamabukiRare      = 12
	yamabukiAdapters  = 56
	yamabukiLoads     = 4
)

var (
	workdays = week{0, 1, 1, 1, 1, 1, 0.8}
	allWeek  = week{0.8, 1, 1, 1, 1, 1, 1}
)

// Yamabuki makes a workload of rounds planned at dawn, orders rewritten in the
// afternoon, jobs and rarely used models; nights are silent.
func Yamabuki(seed uint64, days int) Workload {
	builder := newBuilder("Yamabuki", seed, days)
	var shared []int
	for rank := range yamabukiPlanners {
		shared = append(shared, builder.model("planner", rank, builder.dawn(zipf(60, rank)), sessions{
			from: hour(6), to: hour(11), perDay: zipf(10, rank), requests: 3, think: 40 * time.Second, week: workdays,
		}))
	}
	for rank := range yamabukiRewriters {
		shared = append(shared, builder.model("rewriter", rank, builder.afternoon(zipf(25, rank))))
	}
	for number := range yamabukiJobs {
		builder.model("job", number, builder.job(number))
	}
	for rank := range yamabukiRare {
		builder.model("rare", rank, sessions{
			from: hour(6), to: hour(19), perDay: zipf(2, rank), requests: 3, think: 40 * time.Second, week: allWeek,
		})
	}
	for number := range yamabukiAdapters {
		model := shared[builder.random.IntN(len(shared))]
		if model < yamabukiPlanners {
			builder.add(model, builder.dawn(zipf(10, number%10)))
			continue
		}
		builder.add(model, builder.afternoon(zipf(4, number%10)))
	}
	return builder.finish(yamabukiLoads)
}

func (builder *builder) dawn(size float64) source {
	return burst{
		opens:  builder.between(hour(4), hour(5.5)),
		jitter: 8 * time.Minute,
		size:   size,
		spread: 12 * time.Minute,
		week:   workdays,
	}
}

func (builder *builder) afternoon(perDay float64) source {
	return sessions{
		from:     builder.between(hour(13), hour(15)),
		to:       builder.between(hour(17), hour(19)),
		perDay:   perDay,
		requests: 4,
		think:    45 * time.Second,
		week:     workdays,
	}
}

// job draws one of the usual intervals of jobs.
func (builder *builder) job(number int) source {
	intervals := []time.Duration{24 * time.Hour, 12 * time.Hour, 4 * time.Hour, 2 * time.Hour, 90 * time.Minute, 5 * time.Hour}
	interval := intervals[number%len(intervals)]
	return job{
		first:    builder.between(0, min(interval, day)),
		interval: interval,
		jitter:   30 * time.Second,
		requests: 1 + builder.random.IntN(6),
	}
}
