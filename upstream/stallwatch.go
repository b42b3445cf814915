package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"
)

// stallWatch cancels a generation if nothing is received for the limit while the client waits for data.
type stallWatch struct {
	clock  clock.Clock
	limit  time.Duration
	cancel context.CancelFunc
	// waitingSince is the time in Unix nanoseconds of the last receipt or of the start of the wait, or zero while
	// the watch is paused.
	waitingSince atomic.Int64
	// fired states that the watch cancelled the generation.
	fired atomic.Bool
}

func newStallWatch(clk clock.Clock, limit time.Duration, cancel context.CancelFunc) *stallWatch {
	return &stallWatch{clock: clk, limit: limit, cancel: cancel}
}

// resume starts measuring, or restarts the measurement after something was received.
func (stall *stallWatch) resume() {
	stall.waitingSince.Store(stall.clock.Now().UnixNano())
}

// pause stops measuring until the next call of resume.
func (stall *stallWatch) pause() {
	stall.waitingSince.Store(0)
}

// watch cancels the generation once it has stalled. It returns then or when the context ends.
func (stall *stallWatch) watch(ctx context.Context) {
	timer := stall.clock.NewTimer(stall.limit)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C():
			remaining := stall.remaining(now)
			if remaining <= 0 {
				stall.fired.Store(true)
				stall.cancel()
				return
			}
			timer.Reset(remaining)
		}
	}
}

// remaining returns the time until the generation counts as stalled.
func (stall *stallWatch) remaining(now time.Time) time.Duration {
	waitingSince := stall.waitingSince.Load()
	if waitingSince == 0 {
		return stall.limit
	}
	return stall.limit - now.Sub(time.Unix(0, waitingSince))
}
