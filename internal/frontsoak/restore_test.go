package frontsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

const (
	// copyAge is the age of the copy that the store comes back from, and restoreDowntime how long it is away before.
	copyAge         = 5 * time.Second
	restoreDowntime = time.Second
	// lostWrites is the number of writes of others that the store loses, so that its versions stay below those that
	// daemons know for longer than a replica drains.
	lostWrites = 400
	// lostWritesKnown is the time in which daemons read rows that were written after these.
	lostWritesKnown = 1500 * time.Millisecond
)

// restoreStore makes the store unavailable, and then available with its state of some seconds before. The operator writes the
// configuration again.
func (testbed *testbed) restoreStore(age time.Duration) {
	for number := range lostWrites {
		testbed.store.put("others", fmt.Sprint(number), []byte("x"))
	}
	time.Sleep(lostWritesKnown)
	testbed.checker.recordStoreFault(true)
	end := testbed.store.beginOutage()
	time.Sleep(restoreDowntime)
	testbed.store.restore(age + restoreDowntime)
	end()
	testbed.checker.recordStoreFault(false)
	testbed.configure()
}

// injectRestores makes the store come back from an older copy at random moments, without being away, until the context ends. It
// has its own random source, so that the other faults of a seed do not depend on it.
func (testbed *testbed) injectRestores(ctx context.Context, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 11))
	for ctx.Err() == nil {
		time.Sleep(time.Duration(1500+random.IntN(5000)) * time.Millisecond)
		testbed.checker.recordRestore()
		testbed.store.restore(time.Duration(200+random.IntN(6000)) * time.Millisecond)
		testbed.configure()
	}
}

// recordRestore records that the store comes back from an older copy, which is a fault that ends at once.
func (checker *checker) recordRestore() {
	checker.mutex.Lock()
	defer checker.mutex.Unlock()
	if !checker.storeStable.IsZero() {
		checker.storeStable = time.Now()
	}
}

// TestStoreComesBackOlder guards against issue 37: after the store came back from an older copy, daemons ignored its rows,
// since their versions were below those known. A replica that drained got requests on and on.
func TestStoreComesBackOlder(t *testing.T) {
	binary := build(t)
	for index, restores := range []int{1, 2} {
		t.Run(fmt.Sprint(restores, " times"), func(t *testing.T) {
			t.Parallel()
			seed := 5200 + uint64(index)
			testbed, stop := newServingTestbed(t, binary, seed, 0)
			ctx, cancel := context.WithCancel(context.Background())
			clients := testbed.startClients(ctx, seed)
			time.Sleep(8 * time.Second)
			for range restores {
				testbed.restoreStore(copyAge)
				time.Sleep(3500 * time.Millisecond)
				for _, replica := range []*replica{testbed.replicas[0], testbed.replicas[engineCount]} {
					replica.withLock(func() { replica.drainsSilently = true })
					replica.drain()
				}
				time.Sleep(time.Second)
				testbed.checkRoute(seed)
				time.Sleep(4 * time.Second)
			}
			cancel()
			clients.Wait()
			testbed.checkRecovery(seed)
			stop()
			t.Logf("outcomes %v", testbed.checker.outcomes)
			violations := testbed.checker.finish()
			for _, violation := range violations[:min(len(violations), 10)] {
				t.Error(violation)
			}
		})
	}
}

// checkRoute adds a route to the configuration and checks that each daemon serves it 2 s later.
func (testbed *testbed) checkRoute(seed uint64) {
	testbed.configure()
	time.Sleep(2 * time.Second)
	client := newClient("route", testbed.checker, seed, testbed.addresses())
	for _, front := range testbed.fronts {
		path := addedRoute(testbed.version)
		if !client.send(context.Background(), path, front.client) {
			testbed.checker.recordViolation("%s does not serve the route %s", front.name, path)
		}
	}
}

// addedRoute returns the name and prefix of the route that the configuration with the version adds.
func addedRoute(version uint64) string { return fmt.Sprintf("/added-%d/", version) }
