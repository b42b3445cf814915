package soak

import (
	"context"
	"sync/atomic"
	"time"
)

// entry is one entry VM, whose daemon may be replaced.
type entry struct {
	name       string
	dataCentre string
	address    string
	// generation counts the VMs that had the name.
	generation atomic.Int32
	// stop ends the daemon as planned; ended is closed once it has ended.
	stop  context.CancelFunc
	ended chan struct{}
	// killed holds the generations that were killed.
	killed map[int32]bool
	// inService states that the balancer sends requests to it.
	inService bool
	// frozenUntil is the end of the last time that the traffic of its VM was held back.
	frozenUntil time.Time
}

func (entry *entry) callers() string   { return entry.address + ":80" }
func (entry *entry) operators() string { return entry.address + ":81" }
func (entry *entry) peers() string     { return entry.address + ":82" }

// replace stops a daemon as planned and starts another.
func (world *world) replace(entry *entry) {
	world.withdraw(entry)
	entry.stop()
	<-entry.ended
	world.start(entry)
}

// kill loses all traffic of a VM for good, and starts another VM of the name after a pause.
func (world *world) kill(entry *entry, pause time.Duration) {
	host := hostOf(entry)
	world.withdraw(entry)
	world.markKilled(entry)
	world.isolate(host)
	world.wires.sever(host)
	entry.stop()
	<-entry.ended
	time.Sleep(pause)
	world.start(entry)
}

// withdraw makes the balancer send no more requests to the entry.
func (world *world) withdraw(entry *entry) {
	world.lock.Lock()
	defer world.lock.Unlock()
	entry.inService = false
}

func (world *world) markKilled(entry *entry) {
	world.lock.Lock()
	defer world.lock.Unlock()
	entry.killed[entry.generation.Load()] = true
}

// wasKilled reports whether a VM of the entry was killed.
func (world *world) wasKilled(entry *entry, generation int32) bool {
	world.lock.Lock()
	defer world.lock.Unlock()
	return entry.killed[generation]
}

func (world *world) isolate(host string) {
	for _, other := range world.hosts() {
		world.wires.cut(host, other)
		world.wires.cut(other, host)
	}
}

// hosts returns every host but the callers.
func (world *world) hosts() []string {
	world.lock.Lock()
	defer world.lock.Unlock()
	hosts := []string{platformHost}
	for _, vm := range world.vms {
		hosts = append(hosts, vm.Name)
	}
	for _, entry := range world.entries {
		hosts = append(hosts, hostOf(entry))
	}
	return hosts
}
