package replay

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/internal/agenda"
	"github.com/bronzestall/bronzestall/internal/arrivals"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// Run simulates the policy on the workload. The result covers the requests that arrive and the
// replicas that are held from the given time until the end of the workload.
func Run(workload arrivals.Workload, policy keepwarm.Policy, from time.Time) Result {
	simulation := &simulation{
		workload:  workload,
		policy:    policy,
		from:      from,
		tiers:     tiers{models: workload.Models},
		replicas:  make([]replica, len(workload.Models)),
		slots:     make([]time.Time, workload.LoadsAtOnce),
		decisions: agenda.New[int](),
	}
	for model := range workload.Models {
		simulation.describe(model)
		simulation.decide(model, workload.Start)
	}
	for _, arrival := range workload.Arrivals {
		simulation.advance(arrival.At)
		simulation.serve(arrival)
	}
	simulation.advance(workload.End())
	for model := range simulation.replicas {
		simulation.chargeIdle(model, workload.End())
	}
	return simulation.result
}

// replica is the state of the only replica of one model.
type replica struct {
	// held reports whether the replica occupies accelerators, loading or loaded.
	held bool
	// chargedUntil is the time up to which idle time has been counted.
	chargedUntil time.Time
	// readyAt is the end of the load.
	readyAt time.Time
	// busyUntil is the end of the last request.
	busyUntil time.Time
}

type simulation struct {
	workload arrivals.Workload
	policy   keepwarm.Policy
	from     time.Time
	tiers    tiers
	replicas []replica
	// slots holds the time at which each load slot of the weight store becomes free.
	slots []time.Time
	// decisions holds the time of the next decision on each model.
	decisions *agenda.Agenda[int]
	result    Result
}

// advance makes the decisions that are due before the given time.
func (simulation *simulation) advance(until time.Time) {
	for {
		model, at, ok := simulation.decisions.Pop(until.Add(-1))
		if !ok {
			return
		}
		simulation.decide(model, at)
	}
}

// decide applies the decision of the policy on one model. A replica that still loads or runs a request is
// released at the next decision.
func (simulation *simulation) decide(model int, now time.Time) {
	replica := &simulation.replicas[model]
	name := simulation.workload.Models[model].Name
	simulation.describe(model)
	wanted := simulation.policy.Wanted(name, now) > 0
	next := simulation.policy.Next(name, now)
	switch {
	case wanted && !replica.held:
		simulation.load(model, now)
	case !wanted && replica.held:
		if release := latest(replica.busyUntil, replica.readyAt); release.After(now) {
			next = earliest(next, release)
			break
		}
		simulation.chargeIdle(model, now)
		replica.held = false
	}
	simulation.decisions.Schedule(model, next)
}

func (simulation *simulation) describe(model int) {
	properties := keepwarm.Properties{
		Accelerators: float64(simulation.workload.Models[model].Accelerators),
		ColdStart:    simulation.workload.Models[model].Load[simulation.tiers.tierOf(model)],
	}
	simulation.policy.Describe(simulation.workload.Models[model].Name, properties)
}

// load starts a load. A load from the weight store begins when a slot is free.
func (simulation *simulation) load(model int, now time.Time) {
	replica := &simulation.replicas[model]
	tier := simulation.tiers.tierOf(model)
	start := now
	duration := simulation.workload.Models[model].Load[tier]
	if tier == remoteTier {
		slot := slices.IndexFunc(simulation.slots, func(free time.Time) bool { return free.Equal(slices.MinFunc(simulation.slots, time.Time.Compare)) })
		start = latest(now, simulation.slots[slot])
		simulation.slots[slot] = start.Add(duration)
	}
	replica.held = true
	replica.chargedUntil = start
	replica.readyAt = start.Add(duration)
	replica.busyUntil = replica.readyAt
	simulation.tiers.touch(model)
	if !start.Before(simulation.from) {
		simulation.result.Loads++
	}
}

// serve runs one request and starts a load if the model has no replica.
func (simulation *simulation) serve(arrival arrivals.Arrival) {
	replica := &simulation.replicas[arrival.Model]
	name := simulation.workload.Models[arrival.Model].Name
	if !replica.held {
		simulation.load(arrival.Model, arrival.At)
	}
	simulation.tiers.touch(arrival.Model)
	startedAt := latest(arrival.At, replica.readyAt)
	if !arrival.At.Before(simulation.from) {
		simulation.result.Waits = append(simulation.result.Waits, startedAt.Sub(arrival.At))
	}
	simulation.chargeIdle(arrival.Model, startedAt)
	replica.busyUntil = latest(replica.busyUntil, startedAt.Add(arrival.Service))
	simulation.policy.Observe(name, arrival.At, 1)
	next := simulation.policy.Next(name, arrival.At)
	if next.IsZero() {
		next = replica.busyUntil
	}
	if due := simulation.decisions.At(arrival.Model); due.IsZero() || due.After(next) {
		simulation.decisions.Schedule(arrival.Model, next)
	}
}

// chargeIdle counts idle accelerator time up to the given time. Time in which a request runs is not counted.
func (simulation *simulation) chargeIdle(model int, until time.Time) {
	replica := &simulation.replicas[model]
	if !replica.held || !until.After(replica.chargedUntil) {
		return
	}
	idleFrom := latest(replica.chargedUntil, simulation.from)
	if replica.busyUntil.After(replica.readyAt) {
		idleFrom = latest(idleFrom, replica.busyUntil)
	}
	if until.After(idleFrom) {
		simulation.result.Idle += until.Sub(idleFrom) * time.Duration(simulation.workload.Models[model].Accelerators)
	}
	replica.chargedUntil = until
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
