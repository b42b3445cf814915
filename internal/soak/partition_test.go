package soak

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standinplatform "github.com/bronzestall/bronzestall/internal/standin/platform"
)

// newReadyTestbed returns a testbed with the first note in force.
func newReadyTestbed(t *testing.T) *testbed {
	testbed := newTestbed(t, 2)
	time.Sleep(20 * time.Second)
	if err := testbed.apply(firstNote); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	return testbed
}

// requireResponse sends a request through one entry and fails the test unless the response is complete.
func (testbed *testbed) requireResponse(entry *entry, target string) {
	testbed.t.Helper()
	caller := newCaller(testbed, uint64(time.Now().UnixNano()))
	caller.pinnedEntry = entry
	defer caller.close()
	if got := caller.chat(target, true, 5); !got.complete {
		testbed.t.Errorf("%s through %s: %+v", target, entry.name, got)
	}
}

// eventually waits until the condition holds and fails the test after the bound.
func (testbed *testbed) eventually(bound time.Duration, what string, holds func() bool) {
	testbed.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(time.Second) {
		if holds() {
			return
		}
	}
	testbed.t.Errorf("condition not met within %s: %s", bound, what)
}

// decidesFor reports whether the daemon of an entry decides for a data centre.
func (testbed *testbed) decidesFor(entry *entry, dataCentre string) bool {
	report, ok := testbed.report(entry)
	return ok && slices.Contains(report.Decider.For, dataCentre)
}

// TestIsolatedDataCentreKeepsServing guards against a data centre that stops serving its models while it cannot reach
// the platform and the other data centres.
func TestIsolatedDataCentreKeepsServing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testbed := newReadyTestbed(t)
		defer testbed.close()
		north := testbed.entries[0]
		testbed.requireResponse(north, "round")
		time.Sleep(10 * time.Second)
		inside := func(host string) bool {
			return strings.Contains(host, "north") || strings.HasPrefix(host, "entry-1") || strings.HasPrefix(host, "entry-2")
		}
		for _, from := range testbed.hosts() {
			for _, to := range testbed.hosts() {
				if inside(from) != inside(to) && from != "desk-1" && to != "desk-1" {
					testbed.network.block(from, to)
				}
			}
		}
		for range 10 {
			time.Sleep(time.Minute)
			testbed.requireResponse(north, "round")
		}
		testbed.requireResponse(testbed.entries[1], "plan")
	})
}

// TestDaemonsStartWithoutThePlatform guards against daemons that cannot start, or start without a catalogue, while the
// platform is unavailable.
func TestDaemonsStartWithoutThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testbed := newReadyTestbed(t)
		defer testbed.close()
		for _, entry := range testbed.entries {
			testbed.requireResponse(entry, "round")
		}
		testbed.platform.SetFaults(standinplatform.Faults{Unavailable: true})
		time.Sleep(time.Minute)
		for _, entry := range testbed.entries {
			testbed.replace(entry)
			time.Sleep(20 * time.Second)
			if got := testbed.numberAt(entry); got != 1 {
				t.Errorf("%s has number %d in force after its start without the platform", entry.name, got)
			}
			testbed.requireResponse(entry, "round")
		}
	})
}

// TestOtherDataCentreTakesOver guards against a data centre without a decider after its only daemon was killed, and
// against a stream that breaks when the lease is transferred back to the restarted daemon.
func TestOtherDataCentreTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testbed := newReadyTestbed(t)
		defer testbed.close()
		south := testbed.entries[2]
		testbed.requireResponse(south, "round")
		go testbed.kill(south, 3*time.Minute)
		others := []*entry{testbed.entries[0], testbed.entries[1], testbed.entries[3]}
		testbed.eventually(2*time.Minute, "another daemon decides for south", func() bool {
			return slices.ContainsFunc(others, func(entry *entry) bool { return testbed.decidesFor(entry, "south") })
		})
		time.Sleep(10 * time.Second)
		for _, entry := range others {
			report, _ := testbed.report(entry)
			for _, upstream := range report.Upstreams {
				if upstream.Kind == "Engine" && upstream.HeardAgo > 30*time.Second {
					t.Errorf("%s last received the state of %s %s ago", entry.name, upstream.Name, upstream.HeardAgo)
				}
			}
		}
		ended := make(chan result)
		caller := newCaller(testbed, 7)
		caller.pinnedEntry = others[0]
		defer caller.close()
		time.Sleep(2 * time.Minute)
		go func() { ended <- caller.chat("round", true, 5000) }()
		testbed.eventually(2*time.Minute, "the returned daemon decides for south", func() bool { return testbed.decidesFor(south, "south") })
		if got := <-ended; !got.complete {
			t.Errorf("a stream broke while the lease was transferred back: %+v", got)
		}
		testbed.requireResponse(south, "round")
	})
}
