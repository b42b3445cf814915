package dispatch

import (
	"context"
	"errors"
	"sync"

	"k8s.io/utils/clock"
)

// errBeginDeadline ends the context of an attempt whose answer did not begin in time.
var errBeginDeadline = errors.New("answer did not begin before the deadline")

// startLimit ends its context unless begun is called in time. stop must be called.
type startLimit struct {
	ctx    context.Context
	cancel context.CancelCauseFunc
	once   sync.Once
	clock  clock.PassiveClock
	place  *place
	// started is closed by begun.
	started chan struct{}
}

// startLimit returns the limit of the begin of the answer, which no longer holds once it began.
func (journey *journey) startLimit(ctx context.Context, place *place) *startLimit {
	limit := &startLimit{clock: journey.dispatcher.clock, place: place, started: make(chan struct{})}
	limit.ctx, limit.cancel = context.WithCancelCause(ctx)
	if !journey.sink.Begun() {
		go limit.watch(journey.dispatcher.clock.NewTimer(journey.left()))
	}
	return limit
}

// watch ends the context when the timer fires first.
func (limit *startLimit) watch(timer clock.Timer) {
	defer timer.Stop()
	select {
	case <-timer.C():
		limit.cancel(errBeginDeadline)
	case <-limit.started:
	case <-limit.ctx.Done():
	}
}

// begun notes that the answer began.
func (limit *startLimit) begun() {
	limit.once.Do(func() {
		limit.place.begun = limit.clock.Now()
		close(limit.started)
	})
}

// stop frees what the limit holds.
func (limit *startLimit) stop() {
	limit.cancel(nil)
}
