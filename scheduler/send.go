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
	// orderTimeout bounds the answer to an order, and reportTimeout that to a question.
	orderTimeout  = 400 * time.Millisecond
	reportTimeout = 400 * time.Millisecond
	// termReserve is the part of the term that must be left when an order is sent.
	termReserve = 150 * time.Millisecond
	// reportLag is the age that a report of an engine may have.
	reportLag = 120 * time.Millisecond
	// askAgain is the interval of questions until an engine shows what is expected.
	askAgain = 60 * time.Millisecond
	// askFailed is the pause after a question without an answer.
	askFailed = 250 * time.Millisecond
	// doubtFor is the time after which an unanswered order that no report shows counts as not accepted.
	// The number of orders that every order names keeps it harmless if it arrives later.
	doubtFor = 300 * time.Millisecond
	// conflictRest is the pause after an engine refused an order since another one was being carried out.
	conflictRest = 25 * time.Millisecond
	// maxConflicts is the number of such refusals in a row after which the engine is asked.
	maxConflicts = 8
	// unloadTime is the expected time of an unload, and adapterTime that of the load of an adapter.
	unloadTime  = 45 * time.Millisecond
	adapterTime = 20 * time.Millisecond
	// reservedFor is how long the room that an unload made is kept for its model.
	reservedFor = 500 * time.Millisecond
)

// send sends an order unless the term is about to end. The mutex is held.
func (scheduler *Scheduler) send(ctx context.Context, order residency.Order, service *topology.Service) {
	target, ok := scheduler.engines[order.Engine]
	fence := scheduler.fence
	now := scheduler.deps.Clock.Now()
	left, may := scheduler.termLeft(fence, now)
	if !ok || !may {
		return
	}
	target.calling = true
	if order.Operation == residency.Load && order.Adapter == "" && order.Tier == residency.Store {
		scheduler.storeStarts = append(scheduler.storeStarts, now)
	}
	expected := now.Add(scheduler.duration(&order, service))
	timeout := min(orderTimeout, left)
	go func() {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		verdict, err := scheduler.order(ctx, order, fence)
		scheduler.answered(order, fence, verdict, err, now, expected)
	}()
}

// termLeft returns what is left of the term of the fence, and whether an order may still be sent in it.
func (scheduler *Scheduler) termLeft(fence uint64, now time.Time) (time.Duration, bool) {
	current, until, held := scheduler.deps.Lease.Held()
	left := until.Sub(now)
	return left, held && current == fence && left >= termReserve
}

// errTermEnded means that the term ended between the decision and the sending of an order.
var errTermEnded = trace.LimitExceeded("the term ended before the order was sent")

// order sends the order, unless the process was held up until the term had ended.
func (scheduler *Scheduler) order(ctx context.Context, order residency.Order, fence uint64) (residency.Verdict, error) {
	if _, may := scheduler.termLeft(fence, scheduler.deps.Clock.Now()); !may {
		return residency.Refused, errTermEnded
	}
	return scheduler.deps.Engines.Order(ctx, order, scheduler.settings.Name, fence)
}

// duration returns the expected time of the order. The mutex is held.
func (scheduler *Scheduler) duration(order *residency.Order, service *topology.Service) time.Duration {
	if order.Adapter != "" {
		return adapterTime
	}
	if order.Operation == residency.Unload {
		return unloadTime
	}
	model := service.Engine.Models[order.Model]
	return order.Tier.Duration(&model)
}

// answered takes the answer to an order.
func (scheduler *Scheduler) answered(order residency.Order, fence uint64, verdict residency.Verdict, err error, sent, expected time.Time) {
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
	target.calling = false
	target.changed = now
	if err != nil {
		target.question(now)
		return
	}
	target.take(order, verdict, sent, now, expected)
}

// question puts the engine in doubt until a report settles what it holds.
func (engine *engine) question(now time.Time) {
	engine.doubt = true
	engine.doubtSince = now
	engine.askAt = now.Add(reportLag)
}

// take applies the verdict on an order.
func (engine *engine) take(order residency.Order, verdict residency.Verdict, sent, now, expected time.Time) {
	switch verdict {
	case residency.Accepted:
		engine.conflicts = 0
		engine.accept(order, sent, now, expected)
	case residency.Fulfilled:
		engine.conflicts = 0
		if order.Adapter != "" && order.Operation == residency.Unload {
			engine.holding.Orders++
			engine.dropAdapter(order.Model, order.Adapter)
			return
		}
		engine.question(now)
	case residency.Conflicting:
		engine.conflicts++
		engine.restUntil = now.Add(conflictRest)
		if engine.conflicts >= maxConflicts {
			engine.conflicts = 0
			engine.question(now)
		}
	default:
		engine.question(now)
		engine.restUntil = now.Add(time.Second)
	}
}

// accept notes an order that the engine carries out.
func (engine *engine) accept(order residency.Order, sent, now, expected time.Time) {
	engine.holding.Orders++
	switch {
	case order.Adapter != "" && order.Operation == residency.Load:
		engine.addAdapter(order.Model, order.Adapter, expected)
	case order.Adapter != "":
		engine.dropAdapter(order.Model, order.Adapter)
	case order.Operation == residency.Unload:
		engine.drop(order.Model)
		engine.reserved, engine.reservedUntil = order.For, now.Add(reservedFor)
		engine.restUntil = now.Add(unloadTime)
	default:
		engine.order = &pending{Order: order, sent: sent, expected: expected}
		engine.askAt = expected.Add(reportLag / 2)
	}
}
