package soak

import (
	"context"
	"sync/atomic"
	"time"
)

// entry is an entry VM with its daemon. The VM may be replaced by another of the same name.
type entry struct {
	name       string
	dataCentre string
	address    string
	// generation is the number of VMs that have had the name.
	generation atomic.Int32
	// stop shuts the daemon down gracefully; ended is closed once it has ended.
	stop  context.CancelFunc
	ended chan struct{}
	// killed holds the generations that were killed.
	killed map[int32]bool
	// inService states that the load balancer sends requests to it.
	inService bool
	// frozenUntil is the end of the last period in which the traffic of its VM was held back.
	frozenUntil time.Time
}

func (entry *entry) callerAddress() string   { return entry.address + ":80" }
func (entry *entry) operatorAddress() string { return entry.address + ":81" }
func (entry *entry) peerAddress() string     { return entry.address + ":82" }

// replace shuts a daemon down gracefully and starts another on a new VM.
func (testbed *testbed) replace(entry *entry) {
	testbed.removeFromBalancer(entry)
	entry.stop()
	<-entry.ended
	testbed.start(entry)
}

// kill drops all traffic of a VM for good, and starts another VM of the name after a pause.
func (testbed *testbed) kill(entry *entry, pause time.Duration) {
	host := hostOf(entry)
	testbed.removeFromBalancer(entry)
	testbed.markKilled(entry)
	testbed.isolate(host)
	testbed.network.closeConnections(host)
	entry.stop()
	<-entry.ended
	time.Sleep(pause)
	testbed.start(entry)
}

// removeFromBalancer makes the load balancer send no more requests to the entry.
func (testbed *testbed) removeFromBalancer(entry *entry) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	entry.inService = false
}

func (testbed *testbed) markKilled(entry *entry) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	entry.killed[entry.generation.Load()] = true
}

// wasKilled reports whether the given VM of the entry was killed.
func (testbed *testbed) wasKilled(entry *entry, generation int32) bool {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	return entry.killed[generation]
}

// isolate blocks all traffic between a host and the others, in both directions.
func (testbed *testbed) isolate(host string) {
	for _, other := range testbed.hosts() {
		testbed.network.block(host, other)
		testbed.network.block(other, host)
	}
}

// hosts returns the names of all hosts except the callers.
func (testbed *testbed) hosts() []string {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	hosts := []string{platformHost}
	for _, vm := range testbed.vms {
		hosts = append(hosts, vm.Name)
	}
	for _, entry := range testbed.entries {
		hosts = append(hosts, hostOf(entry))
	}
	return hosts
}
