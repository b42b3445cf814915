package soak

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
	standinplatform "github.com/bronzestall/bronzestall/internal/standin/platform"
)

// disturbPlatform sets the faults of the platform.
func (world *world) disturbPlatform(faults standinplatform.Faults) {
	world.lock.Lock()
	world.platformHealthy = time.Time{}
	if faults == (standinplatform.Faults{}) {
		world.platformHealthy = time.Now()
	}
	world.lock.Unlock()
	world.platform.SetFaults(faults)
}

// reclaim marks an engine as leaving and replaces its VM some seconds later.
func (disturber *disturber) reclaim() {
	name, made := disturber.engine()
	if !disturber.takeHost(name) {
		return
	}
	wait := time.Duration(disturber.random.IntN(20)) * time.Second
	listed, says, moves := disturber.random.IntN(3) > 0, disturber.random.IntN(2) == 0, disturber.random.IntN(2) == 0
	klog.Infof("soak: reclaim %s after %s, listed %t, engine says so %t, moves %t", name, wait, listed, says, moves)
	if listed {
		disturber.world.markLeaving(name, true)
	}
	if says {
		made.SetFaults(engine.Faults{Leaving: true})
	}
	disturber.replacing.Go(func() {
		defer disturber.giveHost(name)
		time.Sleep(wait)
		disturber.world.reclaim(name, moves)
		klog.Info("soak: reclaimed ", name)
	})
}

// freeze holds back all traffic of a daemon for 20 to 60 s and delivers it then.
func (disturber *disturber) freeze() {
	chosen := disturber.take()
	if chosen == nil {
		return
	}
	host := hostOf(chosen)
	lasts := time.Duration(20+disturber.random.IntN(41)) * time.Second
	klog.Info("soak: freeze ", host, " for ", lasts)
	disturber.world.markFrozen(chosen, lasts)
	disturber.world.wires.freeze(host)
	disturber.replacing.Go(func() {
		defer disturber.give(chosen)
		time.Sleep(lasts)
		disturber.world.wires.thaw(host)
		klog.Info("soak: ", host, " goes on")
	})
}

// deafen loses what the platform sends to a daemon while the daemon's own traffic goes through.
func (disturber *disturber) deafen() {
	host := hostOf(disturber.entry())
	klog.Info("soak: ", host, " does not hear the platform")
	disturber.world.wires.cut(platformHost, host)
	disturber.later(60, func() { disturber.world.wires.mend(platformHost, host) })
}

// replaceAll replaces every daemon as planned, one shortly after the other.
func (disturber *disturber) replaceAll() {
	if disturber.random.IntN(3) > 0 {
		return
	}
	klog.Info("soak: replace every daemon")
	pause := time.Duration(5+disturber.random.IntN(30)) * time.Second
	disturber.replacing.Go(func() {
		for _, chosen := range disturber.world.entries {
			if disturber.takeThis(chosen) {
				disturber.world.replace(chosen)
				disturber.give(chosen)
			}
			time.Sleep(pause)
		}
	})
}

func (disturber *disturber) takeThis(chosen *entry) bool {
	disturber.lock.Lock()
	defer disturber.lock.Unlock()
	if disturber.busy[chosen] {
		return false
	}
	disturber.busy[chosen] = true
	return true
}

func (disturber *disturber) takeHost(name string) bool {
	disturber.lock.Lock()
	defer disturber.lock.Unlock()
	if disturber.busyHosts[name] {
		return false
	}
	disturber.busyHosts[name] = true
	return true
}

func (disturber *disturber) giveHost(name string) {
	disturber.lock.Lock()
	defer disturber.lock.Unlock()
	delete(disturber.busyHosts, name)
}

// markFrozen records when the VM of an entry is frozen.
func (world *world) markFrozen(entry *entry, lasts time.Duration) {
	world.lock.Lock()
	defer world.lock.Unlock()
	entry.frozenUntil = time.Now().Add(lasts)
}

// wasFrozen reports whether the daemon of a request was frozen at any time of it.
func (judge *judge) wasFrozen(got result) bool {
	if got.entry == nil {
		return false
	}
	judge.world.lock.Lock()
	defer judge.world.lock.Unlock()
	return got.entry.frozenUntil.After(time.Now().Add(-got.took))
}
