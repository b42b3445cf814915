package scheduler

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// askDue asks the engines whose time has come. The mutex is held.
func (scheduler *Scheduler) askDue(ctx context.Context, now time.Time) {
	for _, engine := range scheduler.engines {
		if engine.askAt.IsZero() || now.Before(engine.askAt) || engine.calling || scheduler.resting(engine.Incarnation, now) {
			continue
		}
		engine.calling = true
		engine.askAt = time.Time{}
		go scheduler.ask(ctx, engine.Incarnation, engine.address, scheduler.fence)
	}
}

// resting reports whether the engine wants nothing for now.
func (scheduler *Scheduler) resting(engine topology.Incarnation, now time.Time) bool {
	if scheduler.deps.Backoff == nil {
		return false
	}
	_, resting := scheduler.deps.Backoff(engine, now)
	return resting
}

// ask asks one engine what it holds.
func (scheduler *Scheduler) ask(ctx context.Context, incarnation topology.Incarnation, address string, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holding, born, err := scheduler.deps.Engines.Report(ctx, incarnation, address)
	scheduler.mutex.Lock()
	defer scheduler.Wake()
	defer scheduler.mutex.Unlock()
	target, ok := scheduler.engines[incarnation]
	if !ok || fence != scheduler.fence {
		return
	}
	target.calling = false
	now := scheduler.deps.Clock.Now()
	target.changed = now
	if err != nil || (born != 0 && incarnation.Started != 0 && born != incarnation.Started) {
		event.EngineUnanswered.LogError(err, "Engine", incarnation.ID, "Born", incarnation.Started, "Answered", born)
		target.askAt = now.Add(askFailed)
		return
	}
	before := target.order
	target.learn(holding, now)
	if before != nil && !before.heard && target.order == nil && before.Operation == residency.Load && before.Tier == residency.Store {
		scheduler.storeLimit = scheduler.storeLimit.Observe(now.Sub(before.sent), before.expected.Sub(before.sent), scheduler.storeLoads()+1)
	}
}

// storeLoads returns the number of loads from the weight store on their way. The mutex is held.
func (scheduler *Scheduler) storeLoads() int {
	count := 0
	for _, engine := range scheduler.engines {
		if engine.order != nil && engine.order.Operation == residency.Load && engine.order.Tier == residency.Store {
			count++
		}
	}
	return count
}

// learn takes a report.
func (engine *engine) learn(holding topology.Holding, now time.Time) {
	if holding.Orders < engine.holding.Orders {
		engine.askAt = now.Add(askAgain)
		return
	}
	if engine.order != nil && !engine.order.heard {
		engine.progress(holding, now)
		return
	}
	if engine.order != nil && engine.goesOn(holding, now) {
		engine.askAt = now.Add(askAgain)
		return
	}
	if !engine.doubt {
		return
	}
	accepted := holding.Orders > engine.holding.Orders
	if holding.Busy || (!accepted && now.Sub(engine.doubtSince) < doubtFor) {
		engine.askAt = now.Add(askAgain)
		return
	}
	engine.doubt = false
	engine.askAt = time.Time{}
	before := engine.holding.Orders
	engine.adopt(holding, now)
	event.OrderSettled.Log("Engine", engine.ID, "Born", engine.Started, "OrdersBefore", before, "Orders", holding.Orders,
		"Models", len(holding.Models))
}

// goesOn reports whether the report shows that the load of a former holder still goes on, and forgets the
// load otherwise.
func (engine *engine) goesOn(holding topology.Holding, now time.Time) bool {
	if holding.Busy && !holding.Has(engine.order.Model, "") && !engine.overdue(now) {
		return true
	}
	engine.order = nil
	return false
}

// overdue reports whether the load of a former holder should have ended long ago.
func (engine *engine) overdue(now time.Time) bool {
	return engine.order != nil && engine.order.heard && now.Sub(engine.order.expected) > doubtFor
}

// progress ends the order being carried out if the report shows its effect.
func (engine *engine) progress(holding topology.Holding, now time.Time) {
	order := engine.order
	if !holding.Has(order.Model, "") {
		engine.askAt = now.Add(askAgain)
		if !holding.Busy && now.Sub(order.expected) > doubtFor {
			engine.order = nil
			engine.adopt(holding, now)
			engine.askAt = time.Time{}
		}
		return
	}
	engine.carriedOut(now)
	event.OrderSettled.Log("Engine", engine.ID, "Born", engine.Started, "Model", order.Model, "Tier", order.Tier.String(),
		"Took", now.Sub(order.sent), "Expected", order.expected.Sub(order.sent))
}
