package enginefake

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Fault is a failure injected into one order.
type Fault int

// The faults that can be injected.
const (
	// None executes the order and returns its verdict.
	None Fault = iota
	// NotSent fails before the order is sent.
	NotSent
	// RequestLost drops the order and returns no response.
	RequestLost
	// ResponseLost executes the order and loses the response.
	ResponseLost
	// Late loses the response and delays the order until DeliverLate.
	Late
)

// FailOrders sets the faults of the next orders, in order. Touch orders are not affected.
func (engine *Engine) FailOrders(faults ...Fault) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = append(engine.faults, faults...)
}

// ClearFaults removes the faults set for future orders.
func (engine *Engine) ClearFaults() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = nil
}

// SetUnreachable makes every call fail with upstream.ErrNotSent, or ends that.
func (engine *Engine) SetUnreachable(unreachable bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.unreachable = unreachable
}

// SetLeaving sets whether the engine reports that it accepts no new work.
func (engine *Engine) SetLeaving(leaving bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = leaving
}

// IsLeaving reports whether the engine reports that it accepts no new work.
func (engine *Engine) IsLeaving() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.leaving
}

// FailLoads makes the next count loads end in phase Failed.
func (engine *Engine) FailLoads(count int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.failingLoads += count
}

// DeliverLate executes the orders delayed by Late, in order, and returns their number.
func (engine *Engine) DeliverLate() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	lateOrders := engine.lateOrders
	engine.lateOrders = nil
	for _, delayed := range lateOrders {
		engine.execute(delayed.order)
	}
	return len(lateOrders)
}

// DropLate drops the orders that Late has delayed for longer than age.
func (engine *Engine) DropLate(age time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := engine.clock.Now()
	engine.lateOrders = slices.DeleteFunc(engine.lateOrders, func(delayed lateOrder) bool { return now.Sub(delayed.sentAt) > age })
}

// DeliverOrder executes an order without faults, as if a paused sender had resumed.
func (engine *Engine) DeliverOrder(order upstream.Order) upstream.Verdict {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.execute(order)
}

// Restart begins a new boot with empty accelerator memory and without the orders and the fencing number of the last one.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.newBoot()
}
