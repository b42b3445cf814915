// Package boottime is a clock that goes on while the VM is suspended.
//
// The monotonic clock of the language stands still then, so a lease counted
// on it would look alive after the VM wakes.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/utils/clock"
)

// Clock tells the time since boot, including suspension. Its times can only be compared with each other.
// Timers and tickers are those of the language. The zero value is ready to use.
type Clock struct {
	clock.RealClock
}

// Now returns the time since boot as a time without a monotonic part. It panics if the system has no such clock.
func (Clock) Now() time.Time {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		panic("boottime: " + err.Error())
	}
	return time.Unix(now.Sec, now.Nsec)
}

// Since returns the time that has passed since the time, including suspension.
func (c Clock) Since(since time.Time) time.Duration {
	return c.Now().Sub(since)
}
