package relay

import (
	"context"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/topology"
)

// The time without an event after which an attempt counts as stalled, as multiples of the targets of its route.
const (
	// stallTargetsIdempotent multiplies the latency target of an idempotent request.
	stallTargetsIdempotent = 1.5
	// stallTargetsFirstEvent multiplies the latency target of a resumable stream before its first event.
	stallTargetsFirstEvent = 1.0
	// stallGaps multiplies the gap target of a resumable stream after its first event.
	stallGaps = 4
)

// watchdog cancels an attempt that stalls, if another replica may take over. A nil watchdog does nothing.
type watchdog struct {
	timer clock.Timer
	gap   time.Duration
	done  chan struct{}
}

// watchdog starts the watchdog of an attempt, which cancels it with errStalled. It returns nil if the request must
// not be retried or its route has no latency target.
func (transaction *transaction) watchdog(cancel context.CancelCauseFunc) *watchdog {
	route := transaction.route
	if !route.Repeatable() || transaction.runs+1 >= transaction.maxRuns || route.LatencyTarget == 0 {
		return nil
	}
	first := time.Duration(stallTargetsIdempotent * float64(route.LatencyTarget))
	if route.Kind == topology.Streaming {
		first = time.Duration(stallTargetsFirstEvent * float64(route.LatencyTarget))
	}
	started := &watchdog{
		timer: transaction.relay.deps.Clock.NewTimer(first),
		gap:   stallGaps * route.GapTarget,
		done:  make(chan struct{}),
	}
	go func() {
		select {
		case <-started.timer.C():
			cancel(errStalled)
		case <-started.done:
		}
	}()
	return started
}

// reset restarts the timer when an event arrives.
func (watchdog *watchdog) reset() {
	if watchdog != nil && watchdog.gap > 0 {
		watchdog.timer.Reset(watchdog.gap)
	}
}

// stop releases the watchdog without cancelling the attempt.
func (watchdog *watchdog) stop() {
	if watchdog != nil {
		watchdog.timer.Stop()
		close(watchdog.done)
	}
}
