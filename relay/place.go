package relay

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// serveReserve is the part of a deadline that is kept for the generation after a wait for its model.
	serveReserve = 0.1
	// blindPart is the part of a deadline for which a request waits for a model without a forecast.
	blindPart = 0.5
	// shortestPatience, patientTargets and patientGaps tell when a client leaves a stream without an event:
	// after the longest of a time, a multiple of the latency target and one of the gap target.
	shortestPatience = 2 * time.Second
	patientTargets   = 4
	patientGaps      = 8
	// firstEventReserve is what is kept of that for reading the prompt and the way to the client.
	firstEventReserve = 120 * time.Millisecond
	// fullestPrompt is the number of requests in flight, as a multiple of its slots, up to which a replica
	// begins to answer in time, and fullestPatient that for callers who expect the first event late.
	fullestPrompt  = 2.0
	fullestPatient = 3.0
	// patientTarget is the latency target from which a caller counts as patient.
	patientTarget = time.Second
	// crowdedPart is the part of the latency target for which a request waits for a replica with room, and
	// crowdedStep the interval of looking.
	crowdedPart = 0.4
	crowdedStep = 25 * time.Millisecond
	// retryAfterFull is the mean advice to the client if all replicas are full.
	retryAfterFull = 1200 * time.Millisecond
	// plainWait is how long a request waits for a first replica of a plain service.
	plainWait = 100 * time.Millisecond
	// retryAfterCold is the advice to the client if it is not known when the model is loaded.
	retryAfterCold = 2 * time.Second
)

// place returns the replica for the next sending. It waits for a model or adapter that no replica has,
// as long as an answer in time can be hoped for.
func (journey *journey) place(ctx context.Context) (balance.Candidate, *outcome.Error) {
	ask := balance.Ask{
		Zone:    journey.relay.settings.Zone,
		Seat:    journey.relay.seat(),
		Exclude: journey.tried,
		Rank:    urgency(journey.route),
		Aim:     journey.route.LatencyTarget,
		Luck:    float64(xxhash.Sum64String(journey.request.Traits.ID)) / math.MaxUint64,
	}
	if journey.service.Engine != nil {
		ask.Tokens = journey.request.Traits.PromptTokens
	}
	waiting := false
	begun := journey.relay.deps.Clock.Now()
	defer func() {
		if waiting {
			journey.summary.Waited += journey.relay.deps.Clock.Since(begun)
			journey.relay.deps.Demand.RemoveWaiting(journey.key(), journey.request.Arrived)
		}
	}()
	for {
		changed := journey.relay.deps.Directory.Changed()
		refusals := journey.relay.deps.Suspects.Refusals()
		now := journey.relay.deps.Clock.Now()
		if ctx.Err() != nil {
			return balance.Candidate{}, ended(ctx, false)
		}
		if failure := journey.quarantined(now); failure != nil {
			return balance.Candidate{}, failure
		}
		candidates, back := journey.willing(journey.candidates(), now)
		ask.Fullest = journey.fullest(now)
		if chosen, ok := journey.relay.deps.Balancer.Choose(candidates, ask, now); ok {
			journey.ask = ask
			journey.summary.Replica = chosen.Incarnation
			journey.summary.InFlight = chosen.InFlight
			return chosen, nil
		}
		if len(candidates) > 0 {
			if failure := journey.crowded(now); failure != nil {
				return balance.Candidate{}, failure
			}
			journey.await(ctx, crowdedStep, changed, refusals)
			continue
		}
		if !back.IsZero() {
			if failure := journey.resting(now, back); failure != nil {
				return balance.Candidate{}, failure
			}
			journey.await(ctx, back.Sub(now), changed, refusals)
			continue
		}
		until, failure := journey.patience(now)
		if failure != nil {
			return balance.Candidate{}, failure
		}
		if !waiting {
			waiting = true
			journey.wait()
		}
		journey.await(ctx, until.Sub(now), changed, refusals)
	}
}

// fullest returns how full a replica may be for the request, as a multiple of its slots. A replica that
// is fuller answers later than callers expect; callers who expect the answer late accept more after a wait.
// A stream that began goes on at any replica.
func (journey *journey) fullest(now time.Time) float64 {
	if journey.service.Engine == nil || journey.sink.Begun() {
		return 0
	}
	if journey.route.LatencyTarget >= patientTarget && now.Sub(journey.request.Arrived) >= journey.crowdedWait() {
		return fullestPatient
	}
	return fullestPrompt
}

// crowdedWait returns how long the request waits for a replica with room.
func (journey *journey) crowdedWait() time.Duration {
	return time.Duration(crowdedPart * float64(journey.route.LatencyTarget))
}

// crowded returns the refusal of a request that all replicas are too full for, or nil while it may wait.
func (journey *journey) crowded(now time.Time) *outcome.Error {
	if now.Before(journey.crowdedUntil()) {
		return nil
	}
	return outcome.New(outcome.QueueFull, "all replicas of the model are full").WithRetryAfter(retryAfterFull/2 + journey.spread())
}

// crowdedUntil returns until when the request waits for a replica that takes it.
func (journey *journey) crowdedUntil() time.Time {
	wait := journey.crowdedWait()
	if journey.route.LatencyTarget >= patientTarget {
		wait *= 2
	}
	return journey.request.Arrived.Add(wait)
}

// spread returns the part of an advice to return that keeps clients apart.
func (journey *journey) spread() time.Duration {
	return time.Duration(xxhash.Sum64String(journey.request.Traits.ID) % uint64(retryAfterFull))
}

// candidates returns the replicas that can serve the request now.
func (journey *journey) candidates() []balance.Candidate {
	if journey.service.Engine == nil {
		return journey.relay.deps.Directory.Plain(journey.service.Name)
	}
	return journey.relay.deps.Directory.Holders(journey.key())
}

// wait tells that the request waits for its model.
func (journey *journey) wait() {
	journey.relay.deps.Demand.AddWaiting(journey.key(), journey.request.Arrived)
	event.RequestWaits.Log("Request", journey.request.Traits.ID, "Service", journey.service.Name,
		"Model", journey.request.Traits.Model, "Adapter", journey.request.Traits.Adapter)
	if journey.relay.deps.Poke != nil {
		journey.relay.deps.Poke()
	}
}

// await waits for a change of the directory, for a request that is refused from now on, each unless it is nil, the end of
// the patience or that of the context.
func (journey *journey) await(ctx context.Context, patience time.Duration, changed, refusals <-chan struct{}) {
	timer := journey.relay.deps.Clock.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-changed:
	case <-refusals:
	case <-timer.C():
	case <-ctx.Done():
	}
}

// patience returns until when the request waits for a replica, or why it waits no longer.
func (journey *journey) patience(now time.Time) (time.Time, *outcome.Error) {
	total := journey.deadline.Sub(journey.request.Arrived)
	if journey.service.Engine == nil {
		until := journey.request.Arrived.Add(plainWait)
		if !now.Before(until) {
			return until, outcome.New(outcome.NoReplica, "no replica of the service is known").WithRetryAfter(retryAfterBusy)
		}
		return until, nil
	}
	model, known := journey.service.Engine.Models[journey.request.Traits.Model]
	if !known {
		return now, outcome.New(outcome.NoReplica, "the service has no such model").WithRetryAfter(retryAfterCold)
	}
	if memory := journey.service.Engine.Memory; memory > 0 && model.Weights > memory {
		return now, outcome.New(outcome.NoReplica, "the model %s is larger than the memory of an engine", model.Name).WithRetryAfter(retryAfterCold)
	}
	latest := journey.latest(total)
	ready, known := journey.forecast()
	if known && ready.After(latest) {
		return latest, outcome.New(outcome.DeadlineUnmeetable, "the model will be loaded too late").WithRetryAfter(ready.Sub(now))
	}
	if known {
		return latest, expired(now, latest)
	}
	blind := journey.request.Arrived.Add(time.Duration(blindPart * float64(total)))
	if latest.Before(blind) {
		blind = latest
	}
	return blind, expired(now, blind)
}

// latest returns the last moment at which sending the request makes sense: before the client leaves a
// stream that has not begun, and early enough for the generation.
func (journey *journey) latest(total time.Duration) time.Time {
	latest := journey.deadline.Add(-time.Duration(serveReserve * float64(total)))
	if journey.route.Kind != topology.Streaming {
		return latest
	}
	leaves := max(shortestPatience, patientTargets*journey.route.LatencyTarget, patientGaps*journey.route.GapTarget)
	if begin := journey.request.Arrived.Add(leaves - firstEventReserve); begin.Before(latest) {
		return begin
	}
	return latest
}

// expired returns the failure of a request that waited until the time, or nil before it.
func expired(now, until time.Time) *outcome.Error {
	if now.Before(until) {
		return nil
	}
	return outcome.New(outcome.NoReplica, "the model was not loaded in time").WithRetryAfter(retryAfterCold)
}

// forecast returns when the model, and the adapter if there is one, is expected to be loaded.
func (journey *journey) forecast() (time.Time, bool) {
	key := journey.key()
	if ready, known := journey.relay.deps.Directory.Forecast(key); known {
		return ready, true
	}
	return journey.relay.deps.Directory.Forecast(demand.Key{Service: key.Service, Model: key.Model})
}
