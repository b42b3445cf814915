package relay

import (
	"context"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/topology"
)

// The patience with a silent replica, as multiples of what the route aims at.
const (
	// silentAnswers multiplies the latency target of an idempotent request.
	silentAnswers = 1.5
	// silentFirst multiplies the latency target of a resumable stream before its first event.
	silentFirst = 1.0
	// silentGaps multiplies the gap target of a resumable stream that began.
	silentGaps = 4
)

// watch gives up an attempt whose replica is silent, if another one may go on. Nil watches nothing.
type watch struct {
	timer clock.Timer
	gap   time.Duration
	done  chan struct{}
}

// watch begins to watch an attempt, and cancels it with errSilent when its replica is silent for too long.
func (journey *journey) watch(cancel context.CancelCauseFunc) *watch {
	route := journey.route
	if !route.Repeatable() || journey.runs+1 >= route.MaxAttempts || route.LatencyTarget == 0 {
		return nil
	}
	first := time.Duration(silentAnswers * float64(route.LatencyTarget))
	if route.Kind == topology.Streaming {
		first = time.Duration(silentFirst * float64(route.LatencyTarget))
	}
	started := &watch{
		timer: journey.relay.deps.Clock.NewTimer(first),
		gap:   silentGaps * route.GapTarget,
		done:  make(chan struct{}),
	}
	go func() {
		select {
		case <-started.timer.C():
			cancel(errSilent)
		case <-started.done:
		}
	}()
	return started
}

// hear notes that an event came.
func (watch *watch) hear() {
	if watch != nil && watch.gap > 0 {
		watch.timer.Reset(watch.gap)
	}
}

// stop ends the watch.
func (watch *watch) stop() {
	if watch != nil {
		watch.timer.Stop()
		close(watch.done)
	}
}
