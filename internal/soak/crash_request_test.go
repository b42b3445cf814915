package soak

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/klog/v2"
)

const (
	crashSenders  = 3
	crashSendings = 4
	// mostLost is the largest number of engines of a data centre that one crash request may end.
	mostLost = 2
)

// crashRequests sends one request that crashes engines again and again through all daemons.
func (disturber *disturber) crashRequests() {
	const window = "crash requests"
	if !disturber.takeHost(window) {
		return
	}
	content := fmt.Sprint("CRASH-THE-ENGINE ", disturber.random.Uint64())
	seed := disturber.random.Uint64()
	klog.Info("soak: ", content)
	disturber.replacing.Go(func() {
		defer disturber.giveHost(window)
		begun := time.Now()
		disturber.world.sendCrashesAtOnce(seed, content)
		if !disturber.world.daemonsJoined(begun) {
			disturber.world.excuseCrashes()
		}
	})
}

// sendCrashesAtOnce sends one request again and again by several callers.
func (world *world) sendCrashesAtOnce(seed uint64, content string) {
	var senders sync.WaitGroup
	for number := range crashSenders {
		senders.Go(func() { world.sendCrashes(seed+uint64(number), content) })
	}
	senders.Wait()
}

func (world *world) sendCrashes(seed uint64, content string) {
	caller := newCaller(world, seed)
	defer caller.close()
	random := rand.New(rand.NewPCG(seed, 3))
	for range crashSendings {
		caller.prompt("round", true, 20, content)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
}

// daemonsJoined reports whether all daemons reached each other and every engine since the time, and none
// was frozen. Daemons that are cut off cannot tell each other of suspects.
func (world *world) daemonsJoined(since time.Time) bool {
	for _, entry := range world.entries {
		if world.wasHeldBack(entry, since) {
			return false
		}
		for _, host := range world.hosts() {
			if host != hostOf(entry) && host != platformHost && !world.wires.joined(hostOf(entry), host, since) {
				return false
			}
		}
	}
	return true
}

// crashed counts by data centre and body the engines that crash requests ended.
func (world *world) crashed() map[[2]string]int {
	lost := map[[2]string]int{}
	for _, made := range world.everyEngine() {
		dataCentre := world.dataCentreOf(made.State().Upstream)
		for mark, count := range made.Counts().CrashedBy {
			lost[[2]string{dataCentre, mark}] += count
		}
	}
	return lost
}

// excuseCrashes excuses the requests that ended too many engines until now.
func (world *world) excuseCrashes() {
	crashed := world.crashed()
	world.lock.Lock()
	defer world.lock.Unlock()
	for key, count := range crashed {
		if count > mostLost {
			world.excused[key] = true
		}
	}
}

// finishCrashes judges how many engines of a data centre each crash request ended.
func (judge *judge) finishCrashes() {
	for key, count := range judge.world.crashed() {
		switch {
		case count <= mostLost:
		case judge.world.excused[key]:
			judge.counts["crash request while daemons were cut off"]++
		default:
			judge.breach("request with body %s crashed %d engines of %s", key[1], count, key[0])
		}
	}
}

func (world *world) dataCentreOf(name string) string {
	for _, member := range world.members {
		if member.Name == name {
			return member.DataCentre
		}
	}
	return ""
}
