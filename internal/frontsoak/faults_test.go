package frontsoak

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// injectFaults starts random faults one after the other for the length and returns when all are repaired. Faults overlap.
func (testbed *testbed) injectFaults(t *testing.T, length time.Duration) {
	end := time.Now().Add(length)
	var repairs sync.WaitGroup
	for time.Now().Before(end) {
		fault := testbed.faults()[testbed.random.IntN(len(testbed.faults()))]
		duration := time.Duration(200+testbed.random.IntN(3000)) * time.Millisecond
		t.Logf("%v remaining: %s for %v", time.Until(end).Round(time.Millisecond), fault.name, duration)
		repair := fault.inject(duration)
		if repair != nil {
			repairs.Go(func() {
				time.Sleep(duration)
				repair()
			})
		}
		time.Sleep(time.Duration(100+testbed.random.IntN(1200)) * time.Millisecond)
	}
	repairs.Wait()
}

// fault is one kind of fault. inject starts it and returns the function that ends it after the duration, or nil if it
// ends by itself.
type fault struct {
	name   string
	inject func(duration time.Duration) (repair func())
}

// faults returns all kinds of faults, each for a daemon or replica that is drawn now.
func (testbed *testbed) faults() []fault {
	front := testbed.fronts[testbed.random.IntN(len(testbed.fronts))]
	replica := testbed.replicas[testbed.random.IntN(len(testbed.replicas))]
	engine := testbed.replicas[testbed.random.IntN(engineCount)]
	oneShot := func(apply func()) func(time.Duration) func() {
		return func(time.Duration) func() {
			apply()
			return nil
		}
	}
	count := 1 + testbed.random.IntN(4)
	return []fault{
		{"kill " + front.name, oneShot(func() { front.signal(syscall.SIGKILL) })},
		{"stop " + front.name, oneShot(func() { front.signal(syscall.SIGTERM) })},
		{"reload " + front.name, oneShot(func() { front.signal(syscall.SIGHUP) })},
		{"kill all daemons", oneShot(func() {
			testbed.signalAll(syscall.SIGKILL)
		})},
		{"suspend " + front.name, func(time.Duration) func() {
			front.suspend()
			return func() { front.resume(testbed.checker) }
		}},
		{"store unavailable", func(time.Duration) func() {
			testbed.checker.recordStoreFault(true)
			end := testbed.store.beginOutage()
			return func() {
				end()
				testbed.checker.recordStoreFault(false)
			}
		}},
		{"store connections stalled for " + front.name, testbed.storeConnectionFault(front, proxyFault{stalls: true})},
		{"store connections reset for " + front.name, testbed.storeConnectionFault(front, proxyFault{refuses: true})},
		{"store slow for " + front.name, testbed.storeConnectionFault(front, proxyFault{delay: 100 * time.Millisecond})},
		{"store loses responses", oneShot(func() { testbed.store.loseResponses(count) })},
		{"store drops its history", oneShot(testbed.store.dropHistory)},
		{"configuration", oneShot(testbed.configure)},
		{"crash " + replica.id, func(duration time.Duration) func() {
			replica.crash(duration)
			return nil
		}},
		{"drain " + replica.id, oneShot(replica.drain)},
		{"reset connections of " + replica.id, oneShot(func() {
			testbed.checker.recordReplicaFault(replica.id)
			replica.proxy.resetAll()
		})},
		{"stall connections of " + replica.id, func(time.Duration) func() {
			testbed.checker.recordReplicaFault(replica.id)
			end := replica.proxy.begin(proxyFault{stalls: true})
			return func() {
				testbed.checker.recordReplicaFault(replica.id)
				end()
			}
		}},
		{"break off responses of " + replica.id, oneShot(func() { replica.withLock(func() { replica.brokenResponses = count }) })},
		{"lose responses of " + replica.id, oneShot(func() { replica.withLock(func() { replica.lostResponses = count }) })},
		{"delay orders at " + engine.id, oneShot(func() { engine.withLock(func() { engine.delayedOrders = count }) })},
	}
}

// storeConnectionFault returns a fault of the connections between a daemon and the store.
func (testbed *testbed) storeConnectionFault(front *process, fault proxyFault) func(time.Duration) func() {
	return func(time.Duration) func() {
		testbed.checker.recordStoreFault(true)
		end := front.store.begin(fault)
		if fault.refuses {
			front.store.resetAll()
		}
		return func() {
			end()
			testbed.checker.recordStoreFault(false)
		}
	}
}

// withLock calls the function with the mutex held.
func (replica *replica) withLock(apply func()) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	apply()
}
