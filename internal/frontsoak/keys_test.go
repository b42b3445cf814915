package frontsoak

import (
	"os"
	"testing"
	"time"
)

const (
	// keyRevocation is the time after which a removed key must not be accepted, and keyProbes the number of rounds of requests with it
	// from then on, keyProbePause apart.
	keyRevocation = 5 * time.Second
	keyProbes     = 8
	keyProbePause = 250 * time.Millisecond
	// keyDaemons is the number of daemons.
	keyDaemons = 4
)

// removedKeyCase is a fault during which a key is removed.
type removedKeyCase struct {
	name string
	// begin begins the fault, and returns a function that ends it once the time in which the key may be accepted has passed.
	begin func(testbed *testbed) (end func())
	// lasts states that the fault goes on while the key is tried.
	lasts bool
}

// stallStores lets the calls of the daemons to the store hang.
func stallStores(fronts []*process) (end func()) {
	var ends []func()
	for _, front := range fronts {
		ends = append(ends, front.store.begin(proxyFault{stalls: true}))
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

var removedKeyCases = []removedKeyCase{
	{name: "no fault", begin: func(*testbed) func() { return func() {} }},
	{name: "one daemon does not reach the store", lasts: true, begin: func(testbed *testbed) func() { return stallStores(testbed.fronts[:1]) }},
	{name: "no daemon reaches the store", lasts: true, begin: func(testbed *testbed) func() { return stallStores(testbed.fronts) }},
	{name: "daemons are frozen, and the store is silent when they go on", lasts: true, begin: func(testbed *testbed) func() {
		end := stallStores(testbed.fronts)
		for _, front := range testbed.fronts {
			front.suspend()
		}
		time.AfterFunc(keyRevocation, func() {
			for _, front := range testbed.fronts {
				front.resume(testbed.checker)
			}
		})
		return end
	}},
	{name: "a daemon starts again while the store is silent", lasts: true, begin: func(testbed *testbed) func() {
		end := stallStores(testbed.fronts)
		release := testbed.fronts[0].hold()
		time.AfterFunc(time.Second, release)
		return end
	}},
}

// TestRemovedKeysAreNotAccepted guards against requests that run with a key which was removed longer ago than the settings allow, at a
// daemon that could not learn of it, and against keys that reach replicas.
func TestRemovedKeysAreNotAccepted(t *testing.T) {
	binary := build(t)
	for index, c := range removedKeyCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := 6000 + uint64(index)
			testbed := newKeyTestbed(t, binary, seed)
			stop := testbed.serve(4 * time.Second)
			defer stop()
			removed := newClient("removed", testbed.checker, seed, testbed.addresses())
			removed.key = "k-removed"
			kept := newClient("kept", testbed.checker, seed, testbed.addresses())
			kept.key = "k-kept"
			if served := testbed.servedBy(t, removed) + testbed.servedBy(t, kept); served != 2*keyDaemons {
				t.Fatalf("%d of %d daemons serve both keys before", served, 2*keyDaemons)
			}
			end := c.begin(testbed)
			testbed.accounts = map[string][]string{"a": {"k-kept"}}
			testbed.configure()
			time.Sleep(keyRevocation)
			if !c.lasts {
				end()
			}
			for range keyProbes {
				if served := testbed.servedBy(t, removed); served > 0 {
					t.Errorf("%d daemons serve a removed key", served)
				}
				time.Sleep(keyProbePause)
			}
			if c.lasts {
				end()
				time.Sleep(keyRevocation)
			}
			if served := testbed.servedBy(t, kept); served != keyDaemons {
				t.Errorf("%d of %d daemons serve a valid key afterwards", served, keyDaemons)
			}
			for _, violation := range testbed.checker.finish() {
				t.Error(violation)
			}
		})
	}
}

// newKeyTestbed returns a testbed with an account of two keys.
func newKeyTestbed(t *testing.T, binary string, seed uint64) *testbed {
	testbed := newTestbed(t, keyDaemons, binary, seed)
	for _, front := range testbed.fronts {
		content, err := os.ReadFile(front.settings)
		if err != nil {
			t.Fatal(err)
		}
		content = append(content, "KeyRevocation: "+keyRevocation.String()+"\n"...)
		if err := os.WriteFile(front.settings, content, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	testbed.accounts = map[string][]string{"a": {"k-kept", "k-removed"}}
	testbed.configure()
	return testbed
}

// servedBy returns how many daemons serve a request of the client.
func (testbed *testbed) servedBy(t *testing.T, client *client) int {
	served := 0
	for _, front := range testbed.fronts {
		if client.send(t.Context(), pathLookup, front.client) {
			served++
		}
	}
	return served
}
