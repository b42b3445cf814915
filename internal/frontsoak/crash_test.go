package frontsoak

import (
	"context"
	"strings"
	"syscall"
	"testing"
	"time"
)

const (
	// crashPrefix begins the body of a crash request, which ends each replica that starts to run it.
	crashPrefix = "crash "
	// crashDowntime is how long a replica is down after a crash request.
	crashDowntime = 600 * time.Millisecond
	// crashLimit is the number of replicas that a request may end. From crashGrace after that all daemons must refuse
	// it; crashTolerance of its retries may still reach replicas.
	crashLimit     = 3
	crashGrace     = 3 * time.Second
	crashTolerance = 3
	// crashInterval is the pause between two retries of a crash request, and crashDuration how long it is repeated.
	crashInterval = 700 * time.Millisecond
	crashDuration = 14 * time.Second
)

// crashRecord holds the effects of one crash request.
type crashRecord struct {
	// endedReplicas is the number of replicas that it ended, and thirdEnd when it ended the third one.
	endedReplicas int
	thirdEnd      time.Time
	// lateArrivals counts the attempts that reached replicas later than crashGrace after the third end.
	lateArrivals int
}

// recordCrashArrival reports whether a request that reached a replica is a crash request, and counts a late one.
func (checker *checker) recordCrashArrival(id, body string, now time.Time) bool {
	if !strings.HasPrefix(body, crashPrefix) {
		return false
	}
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	record := checker.crashes[body]
	if record.endedReplicas >= crashLimit && now.Sub(record.thirdEnd) > crashGrace && checker.mustBeUpToDate(daemonOf(id), now) {
		record.lateArrivals++
	}
	checker.crashes[body] = record
	return true
}

// recordCrash records that the crash request with the body ended a replica.
func (checker *checker) recordCrash(body string, now time.Time) {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	record := checker.crashes[body]
	record.endedReplicas++
	if record.endedReplicas == crashLimit {
		record.thirdEnd = now
	}
	checker.crashes[body] = record
}

// checkCrashes records a violation for each crash request that reached too many replicas. The mutex is held.
func (checker *checker) checkCrashes() {
	for body, record := range checker.crashes {
		if record.lateArrivals > crashTolerance {
			checker.recordViolationLocked("%q reached replicas %d times later than %v after it had ended three; it ended %d in all", body, record.lateArrivals, crashGrace, record.endedReplicas)
		}
	}
}

// repeatCrashRequest sends a crash request until the context ends, each time to the next daemon.
func (testbed *testbed) repeatCrashRequest(ctx context.Context, kind, name string) {
	addresses := testbed.addresses()
	client := newClient(name, testbed.checker, 1, addresses)
	for count := 0; ctx.Err() == nil; count++ {
		client.sendBody(ctx, kind, addresses[count%len(addresses)], crashPrefix+name)
		time.Sleep(crashInterval)
	}
}

// TestCrashRequestIsRefusedByAllDaemons guards against issue 22: daemons forwarded a request that had ended three
// replicas when they had not observed these ends themselves, or had restarted since.
func TestCrashRequestIsRefusedByAllDaemons(t *testing.T) {
	cases := []struct {
		name, kind string
		// killAt is the time from the first request to the kill of all daemons; zero kills none.
		killAt time.Duration
	}{
		{"stream that may run at most once", pathStream, 0},
		{"resumable stream", pathResume, 0},
		{"call", pathCall, 0},
		{"daemons restart", pathStream, 6 * time.Second},
	}
	binary := build(t)
	for index, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			testbed, stop := newServingTestbed(t, binary, 5000+uint64(index), 2*time.Second)
			defer stop()
			ctx, cancel := context.WithTimeout(context.Background(), crashDuration)
			defer cancel()
			if c.killAt > 0 {
				time.AfterFunc(c.killAt, func() { testbed.signalAll(syscall.SIGKILL) })
			}
			testbed.repeatCrashRequest(ctx, c.kind, strings.Fields(c.name)[0])
			t.Logf("outcomes %v, %+v", testbed.checker.outcomes, testbed.checker.crashes)
			for _, violation := range testbed.checker.finish() {
				t.Error(violation)
			}
		})
	}
}

// signalAll sends a signal to all daemons.
func (testbed *testbed) signalAll(signal syscall.Signal) {
	for _, front := range testbed.fronts {
		front.signal(signal)
	}
}

// crashIfRequested ends the replica if the body is that of a crash request, and reports whether it did.
func (replica *replica) crashIfRequested(id, body string) bool {
	if !replica.checker.recordCrashArrival(id, body, time.Now()) {
		return false
	}
	replica.checker.recordCrash(body, time.Now())
	replica.crash(crashDowntime)
	return true
}
