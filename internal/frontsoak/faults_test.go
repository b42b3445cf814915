package frontsoak

import (
	"sync"
	"syscall"
	"testing"
	"time"
)

// disturb injects faults for the time, in series that overlap.
func (world *world) disturb(t *testing.T, length time.Duration) {
	end := time.Now().Add(length)
	var healing sync.WaitGroup
	for time.Now().Before(end) {
		fault := world.faults()[world.random.IntN(len(world.faults()))]
		span := time.Duration(200+world.random.IntN(3000)) * time.Millisecond
		t.Logf("%v left: %s for %v", time.Until(end).Round(time.Millisecond), fault.name, span)
		heal := fault.inject(span)
		if heal != nil {
			healing.Go(func() {
				time.Sleep(span)
				heal()
			})
		}
		time.Sleep(time.Duration(100+world.random.IntN(1200)) * time.Millisecond)
	}
	healing.Wait()
}

// fault is one way to break something. inject returns what mends it after the span, or nil.
type fault struct {
	name   string
	inject func(span time.Duration) (heal func())
}

// faults returns all ways, for daemons and replicas drawn now.
func (world *world) faults() []fault {
	front := world.fronts[world.random.IntN(len(world.fronts))]
	replica := world.replicas[world.random.IntN(len(world.replicas))]
	engine := world.replicas[world.random.IntN(engineCount)]
	change := func(apply func()) func(time.Duration) func() {
		return func(time.Duration) func() {
			apply()
			return nil
		}
	}
	count := 1 + world.random.IntN(4)
	return []fault{
		{"kill " + front.name, change(func() { front.signal(syscall.SIGKILL) })},
		{"stop " + front.name, change(func() { front.signal(syscall.SIGTERM) })},
		{"reload " + front.name, change(func() { front.signal(syscall.SIGHUP) })},
		{"kill all daemons", change(func() {
			world.signalAll(syscall.SIGKILL)
		})},
		{"freeze " + front.name, func(time.Duration) func() {
			front.signal(syscall.SIGSTOP)
			return func() {
				world.judge.thawed(front.name)
				front.signal(syscall.SIGCONT)
			}
		}},
		{"store away", func(time.Duration) func() {
			world.judge.storeFault(true)
			world.tables.set(true, 0)
			return func() {
				world.tables.set(false, 0)
				world.judge.storeFault(false)
			}
		}},
		{"store silent for " + front.name, world.cut(front, true, false, 0)},
		{"store resets " + front.name, world.cut(front, false, true, 0)},
		{"store slow for " + front.name, world.cut(front, false, false, 100*time.Millisecond)},
		{"store loses answers", change(func() { world.tables.set(false, count) })},
		{"store forgets", change(world.tables.forget)},
		{"configuration", change(world.configure)},
		{"crash " + replica.id, func(span time.Duration) func() {
			replica.crash(span)
			return nil
		}},
		{"drain " + replica.id, change(replica.drain)},
		{"reset connections of " + replica.id, change(func() {
			world.judge.disturbReplica(replica.id)
			replica.proxy.resetAll()
		})},
		{"silence " + replica.id, func(time.Duration) func() {
			world.judge.disturbReplica(replica.id)
			replica.proxy.set(true, false, 0)
			return func() {
				world.judge.disturbReplica(replica.id)
				replica.proxy.set(false, false, 0)
			}
		}},
		{"break answers of " + replica.id, change(func() { replica.with(func() { replica.breakNext = count }) })},
		{"lose answers of " + replica.id, change(func() { replica.with(func() { replica.loseNext = count }) })},
		{"late orders at " + engine.id, change(func() { engine.with(func() { engine.lateNext = count }) })},
	}
}

// cut returns a fault of the connections between a daemon and the store.
func (world *world) cut(front *process, silent, closed bool, delay time.Duration) func(time.Duration) func() {
	return func(time.Duration) func() {
		world.judge.storeFault(true)
		front.store.set(silent, closed, delay)
		if closed {
			front.store.resetAll()
		}
		return func() {
			front.store.set(false, false, 0)
			world.judge.storeFault(false)
		}
	}
}

func (replica *replica) with(change func()) {
	replica.mutex.Lock()
	defer replica.mutex.Unlock()
	change()
}
