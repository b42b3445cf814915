package upstream

import (
	"context"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"
)

// silenceWatch reports that a generation received nothing for the limit while the client waits for data. The
// generation goes on.
type silenceWatch struct {
	clock clock.Clock
	limit time.Duration
	// report is called by the goroutine of watch. Its context ends when something is received.
	report func(ctx context.Context)
	// waitingSince is the time in Unix nanoseconds of the last receipt or of the start of the wait, or zero while
	// the client does not wait.
	waitingSince atomic.Int64
	// endReport ends the context of the report in progress; it is nil while there is none.
	endReport atomic.Pointer[context.CancelFunc]
}

func newSilenceWatch(clk clock.Clock, limit time.Duration, report func(ctx context.Context)) *silenceWatch {
	return &silenceWatch{clock: clk, limit: limit, report: report}
}

// resume starts measuring.
func (silence *silenceWatch) resume() {
	silence.waitingSince.Store(silence.clock.Now().UnixNano())
}

// pause stops measuring until the next call of resume.
func (silence *silenceWatch) pause() {
	silence.waitingSince.Store(0)
}

// received records that something was received, which ends the report in progress, and stops measuring.
func (silence *silenceWatch) received() {
	silence.pause()
	if endReport := silence.endReport.Swap(nil); endReport != nil {
		(*endReport)()
	}
}

// watch reports each time that the limit is exceeded, and again after the limit if the silence lasts. It returns
// when done is closed. The context of reports is derived from ctx.
func (silence *silenceWatch) watch(ctx context.Context, done <-chan struct{}) {
	timer := silence.clock.NewTimer(silence.limit)
	defer timer.Stop()
	for {
		select {
		case <-done:
			return
		case <-timer.C():
		}
		remaining := silence.remaining()
		if remaining <= 0 {
			silence.reportOnce(ctx)
			remaining = silence.limit
		}
		timer.Reset(remaining)
	}
}

// reportOnce reports the silence unless something was received in the meantime.
func (silence *silenceWatch) reportOnce(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silence.endReport.Store(&cancel)
	defer silence.endReport.Store(nil)
	if silence.remaining() <= 0 {
		silence.report(ctx)
	}
}

// remaining returns the time until the limit is exceeded.
func (silence *silenceWatch) remaining() time.Duration {
	waitingSince := silence.waitingSince.Load()
	if waitingSince == 0 {
		return silence.limit
	}
	return silence.limit - silence.clock.Since(time.Unix(0, waitingSince))
}
