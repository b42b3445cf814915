// Package boottime provides a clock that includes the time for which the VM is suspended.
//
// Go's monotonic clock stops during a suspension, so a lease timed by it would
// still appear valid after the VM resumes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/utils/clock"
)

// Clock reads CLOCK_BOOTTIME, the time since boot including suspension. Its times can only be compared with
// each other. Timers and tickers are Go's own, which stop during a suspension. The zero value is ready to
// use.
type Clock struct {
	clock.RealClock
}

// Now returns the time since boot as an offset from the Unix epoch, without a monotonic reading. It panics if
// the system does not have the clock.
func (Clock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(now.Sec, now.Nsec)
}

// Since returns the time elapsed since start, including suspension. Start must come from a Clock.
func (c Clock) Since(start time.Time) time.Duration {
	return c.Now().Sub(start)
}
