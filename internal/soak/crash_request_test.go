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
	crashAttempts = 4
	// maxCrashed is the largest number of engines of a data centre that one crash request may end.
	maxCrashed = 2
)

// sendCrashRequests sends a request that crashes engines, repeatedly and through all daemons.
func (injector *injector) sendCrashRequests() {
	const window = "crash requests"
	if !injector.reserveHost(window) {
		return
	}
	content := fmt.Sprint("CRASH-THE-ENGINE ", injector.random.Uint64())
	seed := injector.random.Uint64()
	klog.Info("soak: ", content)
	injector.pending.Go(func() {
		defer injector.releaseHost(window)
		startedAt := time.Now()
		injector.testbed.sendCrashesAtOnce(seed, content)
		if !injector.testbed.daemonsConnectedSince(startedAt) {
			injector.testbed.exemptCrashes()
		}
	})
}

// sendCrashesAtOnce sends one request repeatedly from several concurrent callers.
func (testbed *testbed) sendCrashesAtOnce(seed uint64, content string) {
	var senders sync.WaitGroup
	for number := range crashSenders {
		senders.Go(func() { testbed.sendCrashes(seed+uint64(number), content) })
	}
	senders.Wait()
}

// sendCrashes sends one request repeatedly from one caller.
func (testbed *testbed) sendCrashes(seed uint64, content string) {
	caller := newCaller(testbed, seed)
	defer caller.close()
	random := rand.New(rand.NewPCG(seed, 3))
	for range crashAttempts {
		caller.prompt("round", true, 20, content)
		time.Sleep(time.Duration(random.IntN(3000)) * time.Millisecond)
	}
}

// daemonsConnectedSince reports whether since the time all daemons could reach each other and every engine, and none was
// frozen. Daemons that are cut off cannot share which requests are suspects.
func (testbed *testbed) daemonsConnectedSince(since time.Time) bool {
	for _, entry := range testbed.entries {
		if testbed.frozenSince(entry, since) {
			return false
		}
		for _, host := range testbed.hosts() {
			if host != hostOf(entry) && host != platformHost && !testbed.network.connectedSince(hostOf(entry), host, since) {
				return false
			}
		}
	}
	return true
}

// crashedEngines counts the engines that crash requests ended, by data centre and body.
func (testbed *testbed) crashedEngines() map[[2]string]int {
	crashes := map[[2]string]int{}
	for _, instance := range testbed.allEngines() {
		dataCentre := testbed.dataCentreOf(instance.State().Upstream)
		for body, count := range instance.Counts().CrashedBy {
			crashes[[2]string{dataCentre, body}] += count
		}
	}
	return crashes
}

// exemptCrashes exempts the requests that have ended too many engines by now from the check.
func (testbed *testbed) exemptCrashes() {
	crashedEngines := testbed.crashedEngines()
	testbed.lock.Lock()
	defer testbed.lock.Unlock()
	for key, count := range crashedEngines {
		if count > maxCrashed {
			testbed.exemptedCrashes[key] = true
		}
	}
}

// checkCrashes checks how many engines of a data centre each crash request ended.
func (checker *checker) checkCrashes() {
	for key, count := range checker.testbed.crashedEngines() {
		switch {
		case count <= maxCrashed:
		case checker.testbed.exemptedCrashes[key]:
			checker.counts["crash request while daemons were cut off"]++
		default:
			checker.recordViolation("request with body %s crashed %d engines of %s", key[1], count, key[0])
		}
	}
}

// dataCentreOf returns the data centre of an upstream, or an empty string.
func (testbed *testbed) dataCentreOf(name string) string {
	for _, member := range testbed.members {
		if member.Name == name {
			return member.DataCentre
		}
	}
	return ""
}
