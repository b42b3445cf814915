package replay

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/internal/agenda"
	"github.com/bronzestall/bronzestall/internal/arrivals"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// Run replays the workload under the policy and measures what arrives, and
// what is held, from the time on until the end of the workload.
func Run(workload arrivals.Workload, policy keepwarm.Policy, from time.Time) Result {
	replay := &replay{
		workload: workload,
		policy:   policy,
		from:     from,
		tiers:    tiers{models: workload.Models},
		replicas: make([]replica, len(workload.Models)),
		places:   make([]time.Time, workload.LoadsAtOnce),
		checks:   agenda.New[int](),
	}
	for model := range workload.Models {
		replay.describe(model)
		replay.decide(model, workload.Start)
	}
	for _, arrival := range workload.Arrivals {
		replay.advance(arrival.At)
		replay.arrive(arrival)
	}
	replay.advance(workload.End())
	for model := range replay.replicas {
		replay.charge(model, workload.End())
	}
	return replay.result
}

// replica is the state of one model.
type replica struct {
	// held states that accelerators are held, loading or loaded.
	held bool
	// charged is the time up to which idle time is counted.
	charged time.Time
	// ready is when the load is complete.
	ready time.Time
	// busy is when the last running request ends.
	busy time.Time
}

type replay struct {
	workload arrivals.Workload
	policy   keepwarm.Policy
	from     time.Time
	tiers    tiers
	replicas []replica
	// places holds when each place of the weight store becomes free.
	places []time.Time
	// checks holds the time of the next decision on each model.
	checks *agenda.Agenda[int]
	result Result
}

// advance makes the decisions that are due before the time.
func (replay *replay) advance(to time.Time) {
	for {
		model, at, ok := replay.checks.Pop(to.Add(-1))
		if !ok {
			return
		}
		replay.decide(model, at)
	}
}

// decide asks the policy about the model and does what it says.
func (replay *replay) decide(model int, now time.Time) {
	replica := &replay.replicas[model]
	name := replay.workload.Models[model].Name
	replay.describe(model)
	wanted := replay.policy.Wanted(name, now) > 0
	next := replay.policy.Next(name, now)
	switch {
	case wanted && !replica.held:
		replay.load(model, now)
	case !wanted && replica.held:
		if release := latest(replica.busy, replica.ready); release.After(now) {
			next = earliest(next, release)
			break
		}
		replay.charge(model, now)
		replica.held = false
	}
	replay.checks.Schedule(model, next)
}

func (replay *replay) describe(model int) {
	traits := keepwarm.Properties{
		Accelerators: float64(replay.workload.Models[model].Accelerators),
		ColdStart:    replay.workload.Models[model].Load[replay.tiers.of(model)],
	}
	replay.policy.Describe(replay.workload.Models[model].Name, traits)
}

// load starts a load, from the weight store when it has a place.
func (replay *replay) load(model int, now time.Time) {
	replica := &replay.replicas[model]
	tier := replay.tiers.of(model)
	start := now
	length := replay.workload.Models[model].Load[tier]
	if tier == remoteTier {
		place := slices.IndexFunc(replay.places, func(free time.Time) bool { return free.Equal(slices.MinFunc(replay.places, time.Time.Compare)) })
		start = latest(now, replay.places[place])
		replay.places[place] = start.Add(length)
	}
	replica.held = true
	replica.charged = start
	replica.ready = start.Add(length)
	replica.busy = replica.ready
	replay.tiers.use(model)
	if !start.Before(replay.from) {
		replay.result.Loads++
	}
}

// arrive runs one request.
func (replay *replay) arrive(arrival arrivals.Arrival) {
	replica := &replay.replicas[arrival.Model]
	name := replay.workload.Models[arrival.Model].Name
	if !replica.held {
		replay.load(arrival.Model, arrival.At)
	}
	replay.tiers.use(arrival.Model)
	begins := latest(arrival.At, replica.ready)
	if !arrival.At.Before(replay.from) {
		replay.result.Waits = append(replay.result.Waits, begins.Sub(arrival.At))
	}
	replay.charge(arrival.Model, begins)
	replica.busy = latest(replica.busy, begins.Add(arrival.Service))
	replay.policy.Observe(name, arrival.At, 1)
	next := replay.policy.Next(name, arrival.At)
	if next.IsZero() {
		next = replica.busy
	}
	if check := replay.checks.At(arrival.Model); check.IsZero() || check.After(next) {
		replay.checks.Schedule(arrival.Model, next)
	}
}

// charge counts idle time up to the time. Time in which a request runs is skipped.
func (replay *replay) charge(model int, to time.Time) {
	replica := &replay.replicas[model]
	if !replica.held || !to.After(replica.charged) {
		return
	}
	idleFrom := latest(replica.charged, replay.from)
	if replica.busy.After(replica.ready) {
		idleFrom = latest(idleFrom, replica.busy)
	}
	if to.After(idleFrom) {
		replay.result.Idle += to.Sub(idleFrom) * time.Duration(replay.workload.Models[model].Accelerators)
	}
	replica.charged = to
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// earliest returns the earlier time; the zero time means none.
func earliest(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
