package quota

import (
	"slices"
	"time"
)

// Charge is what a request was charged. The zero value is no charge.
type Charge struct {
	account string
	cost    float64
}

// Waiter is a request that is to be charged.
type Waiter struct {
	share *share
	// account is the name of the account, and cost what the request costs.
	account string
	cost    float64
	// until is when the request is refused at the latest.
	until time.Time
	// ready is closed once it is decided.
	ready chan struct{}
	// admitted is set if the request may run; otherwise it may be sent again after retryAfter. Both are set before ready is closed.
	admitted   bool
	charge     Charge
	retryAfter time.Duration
}

// Ready returns a channel that is closed once the request is admitted or refused.
func (waiter *Waiter) Ready() <-chan struct{} {
	return waiter.ready
}

// IsReady reports whether the request is admitted or refused.
func (waiter *Waiter) IsReady() bool {
	select {
	case <-waiter.ready:
		return true
	default:
		return false
	}
}

// admit ends the wait with a charge.
func (waiter *Waiter) admit() {
	waiter.admitted = true
	waiter.charge = Charge{waiter.account, waiter.cost}
	waiter.share.used += waiter.cost
	close(waiter.ready)
}

// refuse ends the wait without a charge.
func (waiter *Waiter) refuse(retryAfter time.Duration) {
	waiter.retryAfter = retryAfter
	waiter.share.refused++
	close(waiter.ready)
}

// remove removes the waiter from those that wait.
func (waiter *Waiter) remove() {
	if at := slices.Index(waiter.share.waiters, waiter); at >= 0 {
		waiter.share.waiters = slices.Delete(waiter.share.waiters, at, at+1)
	}
}
