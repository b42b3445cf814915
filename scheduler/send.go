package scheduler

import (
	"context"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

const (
	// orderTimeout bounds the wait for the response to an order, and reportTimeout that to a query.
	orderTimeout  = 400 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// termMargin is the minimum time left in the term when an order is sent.
	termMargin = 150 * time.Millisecond
	// reportLag is the maximum age of the state in an engine's report.
	reportLag = 120 * time.Millisecond
	// queryInterval is the interval of queries until an engine shows the expected state.
	queryInterval = 60 * time.Millisecond
	// queryRetryDelay is the delay after a failed query.
	queryRetryDelay = 250 * time.Millisecond
	// unansweredTimeout is the time after which an order without a response that no report shows counts as not
	// accepted. If it arrives later it is harmless, because each order states the number of orders accepted before
	// it.
	unansweredTimeout = 300 * time.Millisecond
	// sentCounts is the time for which the planner counts on an order without a response; then another engine may get
	// one for the same model. A load from the weight store counts until a report must have settled it, since it may take
	// the place of another one there.
	sentCounts = 150 * time.Millisecond
	// unloadDuration is the expected duration of an unload, and adapterLoadDuration that of an adapter load.
	unloadDuration      = 45 * time.Millisecond
	adapterLoadDuration = 20 * time.Millisecond
	// reservationDuration is how long the memory freed by an unload is reserved for the model that needs it.
	reservationDuration = 500 * time.Millisecond
)

// startSend sends an order in the background unless the term is about to end. The mutex is held.
func (scheduler *Scheduler) startSend(ctx context.Context, order residency.Order, service *topology.Service) {
	target, ok := scheduler.engines[order.Engine]
	fence := scheduler.fence
	now := scheduler.deps.Clock.Now()
	left, allowed := scheduler.termLeft(fence, now)
	if !ok || !allowed {
		return
	}
	target.callInFlight = true
	if order.Operation == residency.Load && order.Adapter == "" && order.Tier == residency.Store {
		scheduler.storeLoadStarts = append(scheduler.storeLoadStarts, now)
	}
	expected := now.Add(scheduler.expectedDuration(&order, service))
	target.sent = &pendingOrder{Order: order, sent: now, expected: expected}
	target.sentUntil = now.Add(sentCounts)
	if order.Operation == residency.Load && order.Tier == residency.Store {
		target.sentUntil = now.Add(orderTimeout + unansweredTimeout + reportTimeout)
	}
	timeout := min(orderTimeout, left)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		verdict, err := scheduler.sendOrder(ctx, order, fence)
		scheduler.handleVerdict(order, fence, verdict, err, now, expected)
	}()
}

// termLeft returns the rest of the term with the given fencing token, and whether an order may still be sent in
// it.
func (scheduler *Scheduler) termLeft(fence uint64, now time.Time) (time.Duration, bool) {
	current, until, held := scheduler.deps.Lease.Held()
	left := until.Sub(now)
	return left, held && current == fence && left >= termMargin
}

// errTermEnded is returned if the term ended between planning an order and sending it.
var errTermEnded = trace.LimitExceeded("the term ended before the order was sent")

// sendOrder sends the order. It checks the term again, since the process may have been paused after planning.
func (scheduler *Scheduler) sendOrder(ctx context.Context, order residency.Order, fence uint64) (residency.Verdict, error) {
	if _, allowed := scheduler.termLeft(fence, scheduler.deps.Clock.Now()); !allowed {
		return residency.Refused, errTermEnded
	}
	return scheduler.deps.Engines.Order(ctx, order, scheduler.settings.Name, fence)
}

// expectedDuration returns the expected duration of the order. The mutex is held.
func (scheduler *Scheduler) expectedDuration(order *residency.Order, service *topology.Service) time.Duration {
	if order.Adapter != "" {
		return adapterLoadDuration
	}
	if order.Operation == residency.Unload {
		return unloadDuration
	}
	model := service.Engine.Models[order.Model]
	return order.Tier.Duration(&model)
}

// handleVerdict logs the result of an order and applies it to the engine.
func (scheduler *Scheduler) handleVerdict(order residency.Order, fence uint64, verdict residency.Verdict, err error, sent, expected time.Time) {
	scheduler.mutex.Lock()
	defer scheduler.Wake()
	defer scheduler.mutex.Unlock()
	now := scheduler.deps.Clock.Now()
	fields := []any{
		"Engine", order.Engine.ID, "Born", order.Engine.Started, "Operation", order.Operation.String(), "Model", order.Model,
		"Adapter", order.Adapter, "After", order.After, "Tier", order.Tier.String(), "Reason", order.Reason,
		"Fence", fence, "Took", now.Sub(sent),
	}
	if err != nil {
		event.OrderSent.LogError(err, append(fields, "Outcome", "Unknown")...)
	} else {
		event.OrderSent.Log(append(fields, "Outcome", verdict.String())...)
	}
	target, ok := scheduler.engines[order.Engine]
	if !ok || fence != scheduler.fence {
		return
	}
	target.callInFlight = false
	target.changedAt = now
	if err != nil {
		target.markUncertain(now)
		return
	}
	target.sent = nil
	target.applyVerdict(order, verdict, sent, now, expected)
}

// markUncertain marks the state of the engine as unknown until a report clears it. The last order may still arrive
// within unansweredTimeout.
func (engine *engine) markUncertain(now time.Time) {
	engine.uncertain = true
	engine.uncertainSince = now
	engine.settleAfter = unansweredTimeout
	engine.queryAt = now.Add(reportLag)
}

// markConflicting marks the state of the engine as unknown after it answered that an order conflicts. The engine is
// queried at once. That order will not be carried out, so that any report of a later state shows what holds.
func (engine *engine) markConflicting(now time.Time) {
	engine.markUncertain(now)
	engine.settleAfter = reportLag
	engine.queryAt = now
}

// applyVerdict updates the engine after the verdict on an order.
func (engine *engine) applyVerdict(order residency.Order, verdict residency.Verdict, sent, now, expected time.Time) {
	switch verdict {
	case residency.Accepted:
		engine.applyAccepted(order, sent, now, expected)
	case residency.Fulfilled:
		if order.Adapter != "" && order.Operation == residency.Unload {
			engine.holding.Orders++
			engine.removeAdapter(order.Model, order.Adapter)
			return
		}
		engine.markUncertain(now)
	case residency.Conflicting:
		engine.markConflicting(now)
	default:
		engine.markUncertain(now)
		engine.backoffUntil = now.Add(time.Second)
	}
}

// applyAccepted records an order that the engine accepted. Adapter orders and unloads take effect at once, model
// loads become the pending order.
func (engine *engine) applyAccepted(order residency.Order, sent, now, expected time.Time) {
	engine.holding.Orders++
	switch {
	case order.Adapter != "" && order.Operation == residency.Load:
		engine.addAdapter(order.Model, order.Adapter, expected)
	case order.Adapter != "":
		engine.removeAdapter(order.Model, order.Adapter)
	case order.Operation == residency.Unload:
		engine.removeModel(order.Model)
		engine.reservedFor, engine.reservedUntil = order.For, now.Add(reservationDuration)
		engine.backoffUntil = now.Add(unloadDuration)
	default:
		engine.order = &pendingOrder{Order: order, sent: sent, expected: expected}
		engine.queryAt = expected.Add(reportLag / 2)
	}
}
