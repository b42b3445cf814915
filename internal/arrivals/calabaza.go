package arrivals

import "time"

// Numbers of Calabaza's models by kind: 100 models and 110 adapters in total.
const (
	calabazaGates       = 25
	calabazaPlanners    = 25
	calabazaItineraries = 20
	calabazaJobs        = 10
	calabazaRare        = 20
	calabazaAdapters    = 110
	calabazaLoadsAtOnce = 4
)

var (
	gateWeeks = []weekdayFactors{
		{2.5, 0, 0, 0.8, 0.8, 1.2, 3},
		{2.5, 0.8, 0.8, 0.8, 0.8, 1.2, 3},
		{3, 0, 0, 0, 0, 1, 3},
	}
	schoolWeek  = weekdayFactors{0, 1, 1, 1, 1, 0.7, 0}
	visitorWeek = weekdayFactors{2, 0.6, 0.6, 0.7, 0.9, 1.3, 2}
)

// Calabaza generates a workload of gate lookups at opening times, visit planning
// in the evening and at weekends, school itineraries on weekday afternoons,
// jobs and rarely used models.
func Calabaza(seed uint64, days int) Workload {
	builder := newBuilder("Calabaza", seed, days)
	var shared []int
	for rank := range calabazaGates {
		shared = append(shared, builder.addModel("gate", rank, builder.gate(zipf(80, rank))...))
	}
	for rank := range calabazaPlanners {
		shared = append(shared, builder.addModel("visit", rank, builder.evening(zipf(30, rank)), builder.weekend(zipf(15, rank))))
	}
	for rank := range calabazaItineraries {
		shared = append(shared, builder.addModel("itinerary", rank, builder.school(zipf(25, rank))))
	}
	for number := range calabazaJobs {
		builder.addModel("job", number, builder.job(number))
	}
	for rank := range calabazaRare {
		builder.addModel("rare", rank, sessions{
			from: timeOfDay(7), to: timeOfDay(22), perDay: zipf(3, rank), requests: 3, thinkTime: 40 * time.Second, weekdayFactors: visitorWeek,
		})
	}
	for number := range calabazaAdapters {
		model := shared[builder.random.IntN(len(shared))]
		builder.addSources(model, builder.adapter(model, number)...)
	}
	return builder.build(calabazaLoadsAtOnce)
}

func (builder *builder) gate(meanRequests float64) []source {
	opensAt := builder.drawDuration(timeOfDay(8.5), timeOfDay(10.5))
	weekdayFactors := gateWeeks[builder.random.IntN(len(gateWeeks))]
	return []source{
		burst{opensAt: opensAt, jitter: 3 * time.Minute, meanRequests: meanRequests, meanDelay: 15 * time.Minute, weekdayFactors: weekdayFactors},
		sessions{
			from: opensAt, to: timeOfDay(18), perDay: meanRequests / 3, requests: 2, thinkTime: 30 * time.Second, weekdayFactors: weekdayFactors,
		},
	}
}

func (builder *builder) evening(perDay float64) source {
	return sessions{
		from: timeOfDay(17), to: timeOfDay(22.5), perDay: perDay, requests: 5, thinkTime: 50 * time.Second, weekdayFactors: visitorWeek,
	}
}

func (builder *builder) weekend(perDay float64) source {
	return sessions{
		from: timeOfDay(8), to: timeOfDay(20), perDay: perDay, requests: 4, thinkTime: 50 * time.Second, weekdayFactors: weekdayFactors{1.5, 0, 0, 0, 0, 0.3, 1.5},
	}
}

func (builder *builder) school(perDay float64) source {
	return sessions{
		from: timeOfDay(12.5), to: timeOfDay(17.5), perDay: perDay, requests: 6, thinkTime: 70 * time.Second, weekdayFactors: schoolWeek,
	}
}

// adapter returns the sources of one adapter, which are of the same kind as those of its model.
func (builder *builder) adapter(model, number int) []source {
	rate := zipf(6, number%12)
	switch {
	case model < calabazaGates:
		return builder.gate(rate)
	case model < calabazaGates+calabazaPlanners:
		return []source{builder.evening(rate)}
	default:
		return []source{builder.school(rate)}
	}
}
