package enginefake

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// Fault is what happens to one order.
type Fault int

// The faults of orders.
const (
	// None does the order and answers.
	None Fault = iota
	// NotSent refuses the connection.
	NotSent
	// RequestLost drops the order and the answer.
	RequestLost
	// ResponseLost does the order and loses the answer.
	ResponseLost
	// Late loses the answer and does the order at Deliver.
	Late
)

// FailOrders sets the faults of the next orders other than Touch, in order.
func (engine *Engine) FailOrders(faults ...Fault) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = append(engine.faults, faults...)
}

// ClearFaults drops the faults of orders to come.
func (engine *Engine) ClearFaults() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.faults = nil
}

// SetUnreachable makes every call fail before it is sent.
func (engine *Engine) SetUnreachable(unreachable bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.unreachable = unreachable
}

// SetLeaving makes the engine say that it takes no new work.
func (engine *Engine) SetLeaving(leaving bool) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.leaving = leaving
}

// IsLeaving reports whether the engine says that it takes no new work.
func (engine *Engine) IsLeaving() bool {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.leaving
}

// FailLoads makes the next loads end as Failed.
func (engine *Engine) FailLoads(count int) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.failing += count
}

// DeliverLate does the orders that Late holds back and returns how many there were.
func (engine *Engine) DeliverLate() int {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	late := engine.late
	engine.late = nil
	for _, held := range late {
		engine.do(held.order)
	}
	return len(late)
}

// DropLate drops the orders that Late has held back for longer than the age.
func (engine *Engine) DropLate(age time.Duration) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	now := engine.clock.Now()
	engine.late = slices.DeleteFunc(engine.late, func(held lateOrder) bool { return now.Sub(held.since) > age })
}

// DeliverOrder does an order as a paused sender would after it went on.
func (engine *Engine) DeliverOrder(order upstream.Order) upstream.Verdict {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	return engine.do(order)
}

// Restart begins a new boot with empty memory that remembers no order and no fencing number.
func (engine *Engine) Restart() {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	engine.boot()
}
