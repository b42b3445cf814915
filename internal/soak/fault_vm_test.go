package soak

import (
	"time"

	"k8s.io/klog/v2"

	"github.com/bronzestall/bronzestall/internal/standin/engine"
	standinplatform "github.com/bronzestall/bronzestall/internal/standin/platform"
)

// setPlatformFaults sets the faults of the platform, and records since when it has had none.
func (testbed *testbed) setPlatformFaults(faults standinplatform.Faults) {
	testbed.lock.Lock()
	testbed.platformHealthySince = time.Time{}
	if faults == (standinplatform.Faults{}) {
		testbed.platformHealthySince = time.Now()
	}
	testbed.lock.Unlock()
	testbed.platform.SetFaults(faults)
}

// reclaim replaces the VM of a random engine after up to 20 s. Before that the VM list, the engine itself, both or neither
// report that it is leaving.
func (injector *injector) reclaim() {
	name, instance := injector.engine()
	if !injector.reserveHost(name) {
		return
	}
	wait := time.Duration(injector.random.IntN(20)) * time.Second
	listed, announces, newAddress := injector.random.IntN(3) > 0, injector.random.IntN(2) == 0, injector.random.IntN(2) == 0
	klog.Infof("soak: reclaim %s after %s, listed as leaving %t, engine reports leaving %t, new address %t", name, wait, listed, announces, newAddress)
	if listed {
		injector.testbed.markLeaving(name, true)
	}
	if announces {
		instance.SetFaults(engine.Faults{Leaving: true})
	}
	injector.pending.Go(func() {
		defer injector.releaseHost(name)
		time.Sleep(wait)
		injector.testbed.reclaim(name, newAddress)
		klog.Info("soak: reclaimed ", name)
	})
}

// freeze holds back all traffic of a daemon for 20 to 60 s and then delivers it.
func (injector *injector) freeze() {
	chosen := injector.reserveEntry()
	if chosen == nil {
		return
	}
	host := hostOf(chosen)
	duration := time.Duration(20+injector.random.IntN(41)) * time.Second
	klog.Info("soak: freeze ", host, " for ", duration)
	injector.testbed.markFrozen(chosen, duration)
	injector.testbed.network.freeze(host)
	injector.pending.Go(func() {
		defer injector.releaseEntry(chosen)
		time.Sleep(duration)
		injector.testbed.network.unfreeze(host)
		klog.Info("soak: ", host, " is unfrozen")
	})
}

// blockFromPlatform drops what the platform sends to a daemon, while traffic from the daemon to the platform passes.
func (injector *injector) blockFromPlatform() {
	host := hostOf(injector.entry())
	klog.Info("soak: ", host, " receives nothing from the platform")
	injector.testbed.network.block(platformHost, host)
	injector.endLater(60, func() { injector.testbed.network.unblock(platformHost, host) })
}

// replaceAll replaces every daemon gracefully, one shortly after the other. It does so in one of three calls only.
func (injector *injector) replaceAll() {
	if injector.random.IntN(3) > 0 {
		return
	}
	klog.Info("soak: replace every daemon")
	pause := time.Duration(5+injector.random.IntN(30)) * time.Second
	injector.pending.Go(func() {
		for _, chosen := range injector.testbed.entries {
			if injector.tryReserve(chosen) {
				injector.testbed.replace(chosen)
				injector.releaseEntry(chosen)
			}
			time.Sleep(pause)
		}
	})
}

// tryReserve reserves an entry, and reports false if it is reserved already.
func (injector *injector) tryReserve(chosen *entry) bool {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	if injector.reserved[chosen] {
		return false
	}
	injector.reserved[chosen] = true
	return true
}

// reserveHost reserves a name, and reports false if it is reserved already.
func (injector *injector) reserveHost(name string) bool {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	if injector.reservedHosts[name] {
		return false
	}
	injector.reservedHosts[name] = true
	return true
}

func (injector *injector) releaseHost(name string) {
	injector.lock.Lock()
	defer injector.lock.Unlock()
	delete(injector.reservedHosts, name)
}

// markFrozen records for how long the VM of an entry is frozen from now on.
func (testbed *testbed) markFrozen(entry *entry, duration time.Duration) {
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	entry.frozenUntil = time.Now().Add(duration)
}

// wasFrozen reports whether the daemon of a request was frozen at any time during the request.
func (checker *checker) wasFrozen(got result) bool {
	if got.entry == nil {
		return false
	}
	checker.testbed.lock.Lock()
	defer checker.testbed.lock.Unlock()
	return got.entry.frozenUntil.After(time.Now().Add(-got.elapsed))
}
