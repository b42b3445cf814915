package soak

import (
	"fmt"
	"time"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
)

// engine returns the engine that runs on a VM now, or nil.
func (world *world) engine(name string) *engine.Server {
	world.lock.Lock()
	defer world.lock.Unlock()
	return world.engines[name]
}

// everyEngine returns the engines of all VMs, also of reclaimed ones.
func (world *world) everyEngine() []*engine.Server {
	world.lock.Lock()
	defer world.lock.Unlock()
	all := append([]*engine.Server(nil), world.retired...)
	for _, made := range world.engines {
		all = append(all, made)
	}
	return all
}

// markLeaving changes what the VM list says of an engine.
func (world *world) markLeaving(name string, leaving bool) {
	world.lock.Lock()
	defer world.lock.Unlock()
	for index := range world.vms {
		if world.vms[index].Name == name {
			world.vms[index].Leaving = leaving
		}
	}
	world.publish()
}

// reclaim ends the VM of an engine, and starts one of the same name with empty memory and caches.
func (world *world) reclaim(name string, moves bool) {
	world.lock.Lock()
	old, host := world.engines[name], world.engineHosts[name]
	world.incarnations++
	incarnation := world.incarnations
	world.lock.Unlock()
	old.Crash()
	old.Close()
	_ = host.Close()
	world.wires.sever(name)
	time.Sleep(time.Second)
	for index := range world.vms {
		vm := &world.vms[index]
		if vm.Name != name {
			continue
		}
		made := world.newEngine(name, world.members[index].ChecksFencing)
		address := vm.Address
		if moves {
			address = fmt.Sprintf("10.9.0.%d:9100", incarnation)
		}
		server := world.serve(name, address, made)
		world.lock.Lock()
		world.retired = append(world.retired, old)
		world.engines[name], world.engineHosts[name] = made, server
		vm.Leaving = false
		vm.Incarnation = fmt.Sprint("reclaimed-", incarnation)
		vm.Address = address
		world.publish()
		world.lock.Unlock()
	}
}
