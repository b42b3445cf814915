package dispatch

import (
	"context"
	"errors"
	"sync"

	"k8s.io/utils/clock"
)

// errBeginDeadline is the cancellation cause of an attempt whose response did not begin in time.
var errBeginDeadline = errors.New("response did not begin before the deadline")

// startTimeout cancels its context unless begun is called in time. The caller must call stop.
type startTimeout struct {
	ctx         context.Context
	cancel      context.CancelCauseFunc
	once        sync.Once
	clock       clock.PassiveClock
	reservation *reservation
	// started is closed by begun.
	started chan struct{}
}

// startTimeout returns a context with a deadline for the begin of the response. The deadline no longer applies
// once the response has begun.
func (transaction *transaction) startTimeout(ctx context.Context, reservation *reservation) *startTimeout {
	limit := &startTimeout{clock: transaction.dispatcher.clock, reservation: reservation, started: make(chan struct{})}
	limit.ctx, limit.cancel = context.WithCancelCause(ctx)
	if !transaction.sink.Begun() {
		go limit.watch(transaction.dispatcher.clock.NewTimer(transaction.timeLeft()))
	}
	return limit
}

// watch cancels the context if the timer fires first.
func (limit *startTimeout) watch(timer clock.Timer) {
	defer timer.Stop()
	select {
	case <-timer.C():
		limit.cancel(errBeginDeadline)
	case <-limit.started:
	case <-limit.ctx.Done():
	}
}

// begun records that the response has begun.
func (limit *startTimeout) begun() {
	limit.once.Do(func() {
		limit.reservation.begun = limit.clock.Now()
		close(limit.started)
	})
}

// stop releases the resources of the context.
func (limit *startTimeout) stop() {
	limit.cancel(nil)
}
