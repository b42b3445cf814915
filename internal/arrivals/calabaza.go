package arrivals

import "time"

// Kinds and numbers of Calabaza's models: 100 models and 110 adapters.
const (
	calabazaGates       = 25
	calabazaPlanners    = 25
	calabazaItineraries = 20
	calabazaJobs        = 10
	calabazaRare        = 20
	calabazaAdapters    = 110
	calabazaLoads       = 4
)

var (
	gateWeeks = []week{
		{2.5, 0, 0, 0.8, 0.8, 1.2, 3},
		{2.5, 0.8, 0.8, 0.8, 0.8, 1.2, 3},
		{3, 0, 0, 0, 0, 1, 3},
	}
	schoolWeek  = week{0, 1, 1, 1, 1, 0.7, 0}
	visitorWeek = week{2, 0.6, 0.6, 0.7, 0.9, 1.3, 2}
)

// Calabaza makes a workload of gate lookups at opening times, families who
// plan in the evening and at weekends, school coordinators on weekday
// afternoons, jobs and rarely used models.
func Calabaza(seed uint64, days int) Workload {
	builder := newBuilder("Calabaza", seed, days)
	var shared []int
	for rank := range calabazaGates {
		shared = append(shared, builder.model("gate", rank, builder.gate(zipf(80, rank))...))
	}
	for rank := range calabazaPlanners {
		shared = append(shared, builder.model("visit", rank, builder.evening(zipf(30, rank)), builder.weekend(zipf(15, rank))))
	}
	for rank := range calabazaItineraries {
		shared = append(shared, builder.model("itinerary", rank, builder.school(zipf(25, rank))))
	}
	for number := range calabazaJobs {
		builder.model("job", number, builder.job(number))
	}
	for rank := range calabazaRare {
		builder.model("rare", rank, sessions{
			from: hour(7), to: hour(22), perDay: zipf(3, rank), requests: 3, think: 40 * time.Second, week: visitorWeek,
		})
	}
	for number := range calabazaAdapters {
		model := shared[builder.random.IntN(len(shared))]
		builder.add(model, builder.adapter(model, number)...)
	}
	return builder.finish(calabazaLoads)
}

func (builder *builder) gate(size float64) []source {
	opens := builder.between(hour(8.5), hour(10.5))
	week := gateWeeks[builder.random.IntN(len(gateWeeks))]
	return []source{
		burst{opens: opens, jitter: 3 * time.Minute, size: size, spread: 15 * time.Minute, week: week},
		sessions{
			from: opens, to: hour(18), perDay: size / 3, requests: 2, think: 30 * time.Second, week: week,
		},
	}
}

func (builder *builder) evening(perDay float64) source {
	return sessions{
		from: hour(17), to: hour(22.5), perDay: perDay, requests: 5, think: 50 * time.Second, week: visitorWeek,
	}
}

func (builder *builder) weekend(perDay float64) source {
	return sessions{
		from: hour(8), to: hour(20), perDay: perDay, requests: 4, think: 50 * time.Second, week: week{1.5, 0, 0, 0, 0, 0.3, 1.5},
	}
}

func (builder *builder) school(perDay float64) source {
	return sessions{
		from: hour(12.5), to: hour(17.5), perDay: perDay, requests: 6, think: 70 * time.Second, week: schoolWeek,
	}
}

// adapter returns the sources of one adapter, of the kind of its model.
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
