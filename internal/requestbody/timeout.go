package requestbody

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/utils/clock"
)

// ErrStalled is the cause of a failure of a body that made no progress.
var ErrStalled = errors.New("the body made no progress")

// minProgress is the number of bytes by which a body must grow within the time Limits.Progress. At the default of 10 s that is
// 26 bytes per second, less than the slowest links yield.
const minProgress = 256

// past is a read deadline that has passed on any clock.
var past = time.Unix(1, 0)

// watch ends the reading of one body: reads from the client then fail with os.ErrDeadlineExceeded. Use newWatch.
type watch struct {
	controller *http.ResponseController
	clock      clock.WithTicker
	limits     Limits
	// received is the number of bytes of the body that came.
	received atomic.Int64
	// done ends the goroutine of start, which closes ended; both are nil before.
	done, ended chan struct{}

	mutex sync.Mutex
	// finished is set once the reading has ended by itself, and why is the cause if end was called before that.
	finished bool
	why      error
}

// newWatch returns a watch that only end ends the reading through, until start is called.
func newWatch(writer http.ResponseWriter, clk clock.WithTicker, limits Limits) *watch {
	return &watch{controller: http.NewResponseController(writer), clock: clk, limits: limits}
}

// start ends the reading at the timeout and when there is no progress, until stop is called.
func (watch *watch) start() {
	watch.done, watch.ended = make(chan struct{}), make(chan struct{})
	timer := watch.clock.NewTimer(watch.limits.Timeout)
	var ticks <-chan time.Time
	stopTicks := func() {}
	if watch.limits.Progress > 0 {
		ticker := watch.clock.NewTicker(watch.limits.Progress)
		ticks, stopTicks = ticker.C(), ticker.Stop
	}
	go func() {
		defer close(watch.ended)
		defer timer.Stop()
		defer stopTicks()
		for last := int64(0); ; {
			select {
			case <-timer.C():
				watch.end(nil)
				return
			case <-ticks:
				received := watch.received.Load()
				if received-last < minProgress {
					watch.end(ErrStalled)
					return
				}
				last = received
			case <-watch.done:
				return
			}
		}
	}()
}

// end ends the reading, unless it has ended, for the cause.
func (watch *watch) end(cause error) {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if watch.finished {
		return
	}
	if watch.why == nil {
		watch.why = cause
	}
	// Connections without support for deadlines occur in tests only.
	_ = watch.controller.SetReadDeadline(past)
}

// cause returns why the reading was ended, or nil if it was not or for the timeout.
func (watch *watch) cause() error {
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	return watch.why
}

// stop ends the watch. If the body was read whole, the connection can be read again; else nothing more is read from it, so that the server
// does not wait for the rest of the body.
func (watch *watch) stop(whole bool) {
	if watch.done != nil {
		close(watch.done)
		<-watch.ended
	}
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.finished = true
	deadline := past
	if whole {
		deadline = time.Time{}
	}
	_ = watch.controller.SetReadDeadline(deadline)
}
