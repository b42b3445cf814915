package scheduler

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

// queryDue starts a query of each engine whose query is due and that has no call in flight. The mutex is held.
func (scheduler *Scheduler) queryDue(ctx context.Context, now time.Time) {
	for _, engine := range scheduler.engines {
		if engine.queryAt.IsZero() || now.Before(engine.queryAt) || engine.callInFlight || scheduler.inBackoff(engine.Incarnation, now) {
			continue
		}
		engine.callInFlight = true
		engine.queryAt = time.Time{}
		go scheduler.query(ctx, engine.Incarnation, engine.address, scheduler.fence)
	}
}

// limitOf returns the requests per second that the engine accepts from all daemons together; zero if it named no limit.
func (scheduler *Scheduler) limitOf(engine topology.Incarnation) float64 {
	if scheduler.deps.Limit == nil {
		return 0
	}
	limit, _ := scheduler.deps.Limit(engine)
	return limit
}

// inBackoff reports whether the engine has asked for a pause that has not yet ended.
func (scheduler *Scheduler) inBackoff(engine topology.Incarnation, now time.Time) bool {
	if scheduler.deps.Backoff == nil {
		return false
	}
	_, inBackoff := scheduler.deps.Backoff(engine, now)
	return inBackoff
}

// query asks one engine for its holding and applies the response. A failed query, or a response of another
// incarnation, is retried after queryRetryDelay.
func (scheduler *Scheduler) query(ctx context.Context, incarnation topology.Incarnation, address string, fence uint64) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	holding, started, err := scheduler.deps.Engines.Report(ctx, incarnation, address)
	scheduler.mutex.Lock()
	defer scheduler.Wake()
	defer scheduler.mutex.Unlock()
	target, ok := scheduler.engines[incarnation]
	if !ok || fence != scheduler.fence {
		return
	}
	target.callInFlight = false
	now := scheduler.deps.Clock.Now()
	target.changedAt = now
	if err != nil || (started != 0 && incarnation.Started != 0 && started != incarnation.Started) {
		event.EngineUnanswered.LogError(err, "Engine", incarnation.ID, "Born", incarnation.Started, "Answered", started)
		target.queryAt = now.Add(queryRetryDelay)
		return
	}
	before := target.order
	target.applyReport(holding, now)
	if before != nil && !before.inherited && target.order == nil && before.Operation == residency.Load && before.Tier == residency.Store {
		scheduler.storeLimit = scheduler.storeLimit.Observe(now.Sub(before.sent), before.expected.Sub(before.sent), scheduler.countStoreLoads()+1)
	}
}

// countStoreLoads returns the number of loads from the weight store in progress. The mutex is held.
func (scheduler *Scheduler) countStoreLoads() int {
	count := 0
	for _, engine := range scheduler.engines {
		if engine.order != nil && engine.order.Operation == residency.Load && engine.order.Tier == residency.Store {
			count++
		}
	}
	return count
}

// applyReport updates the engine from the response to a query. A report older than the last accepted order is
// ignored and the query repeated.
func (engine *engine) applyReport(holding topology.Holding, now time.Time) {
	if holding.Orders < engine.holding.Orders {
		engine.queryAt = now.Add(queryInterval)
		return
	}
	if engine.order != nil && !engine.order.inherited {
		engine.checkProgress(holding, now)
		return
	}
	if engine.order != nil && engine.stillLoading(holding, now) {
		engine.queryAt = now.Add(queryInterval)
		return
	}
	if !engine.uncertain {
		return
	}
	accepted := holding.Orders > engine.holding.Orders
	if holding.Busy || (!accepted && now.Sub(engine.uncertainSince) < engine.settleAfter) {
		engine.queryAt = now.Add(queryInterval)
		return
	}
	engine.uncertain = false
	engine.sent = nil
	engine.queryAt = time.Time{}
	before := engine.holding.Orders
	engine.setHolding(holding, now)
	event.OrderSettled.Log("Engine", engine.ID, "Born", engine.Started, "OrdersBefore", before, "Orders", holding.Orders,
		"Models", len(holding.Models))
}

// stillLoading reports whether a load inherited from the former holder is still in progress according to the
// report. It drops the load otherwise.
func (engine *engine) stillLoading(holding topology.Holding, now time.Time) bool {
	if holding.Busy && !holding.Has(engine.order.Model, "") && !engine.overdue(now) {
		return true
	}
	engine.order = nil
	return false
}

// overdue reports whether an inherited load is more than unansweredTimeout past its expected end.
func (engine *engine) overdue(now time.Time) bool {
	return engine.order != nil && engine.order.inherited && now.Sub(engine.order.expected) > unansweredTimeout
}

// checkProgress completes the order in progress if the report shows the model as loaded. It drops the order if the
// engine is idle and the order is overdue, and schedules another query otherwise.
func (engine *engine) checkProgress(holding topology.Holding, now time.Time) {
	order := engine.order
	if !holding.Has(order.Model, "") {
		engine.queryAt = now.Add(queryInterval)
		if !holding.Busy && now.Sub(order.expected) > unansweredTimeout {
			engine.order = nil
			engine.setHolding(holding, now)
			engine.queryAt = time.Time{}
		}
		return
	}
	engine.completeOrder(now)
	event.OrderSettled.Log("Engine", engine.ID, "Born", engine.Started, "Model", order.Model, "Tier", order.Tier.String(),
		"Took", now.Sub(order.sent), "Expected", order.expected.Sub(order.sent))
}
