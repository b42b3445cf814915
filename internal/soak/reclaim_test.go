package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/standin/engine"
)

// engine returns the engine that currently runs on the VM of the name, or nil.
func (testbed *testbed) engine(name string) *engine.Server {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	return testbed.engines[name]
}

// allEngines returns the engines of all VMs, including reclaimed ones.
func (testbed *testbed) allEngines() []*engine.Server {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	all := append([]*engine.Server(nil), testbed.retired...)
	for _, instance := range testbed.engines {
		all = append(all, instance)
	}
	return all
}

// markLeaving sets whether the VM list reports an engine as leaving.
func (testbed *testbed) markLeaving(name string, leaving bool) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	for index := range testbed.vms {
		if testbed.vms[index].Name == name {
			testbed.vms[index].Leaving = leaving
		}
	}
	testbed.publishVMs()
}

// reclaim ends the VM of an engine, and starts one of the same name with empty memory and caches, possibly at a new
// address.
func (testbed *testbed) reclaim(name string, newAddress bool) {
	testbed.lock.Lock()
	old, host := testbed.engines[name], testbed.engineHosts[name]
	testbed.incarnations++
	incarnation := testbed.incarnations
	testbed.lock.Unlock()
	old.Crash()
	old.Close()
	_ = host.Close()
	testbed.network.closeConnections(name)
	time.Sleep(time.Second)
	testbed.lock.Lock()
	index := slices.IndexFunc(testbed.vms, func(vm datastore.VM) bool { return vm.Name == name })
	address := testbed.vms[index].Address
	testbed.lock.Unlock()
	if newAddress {
		address = fmt.Sprintf("10.9.0.%d:9100", incarnation)
	}
	instance := testbed.newEngine(name, testbed.members[index].ChecksFencing)
	server := testbed.serve(name, address, instance)
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	testbed.retired = append(testbed.retired, old)
	testbed.engines[name], testbed.engineHosts[name] = instance, server
	vm := &testbed.vms[index]
	vm.Leaving = false
	vm.Incarnation = fmt.Sprint("reclaimed-", incarnation)
	vm.Address = address
	testbed.publishVMs()
}
