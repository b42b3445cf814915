package frontsoak

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"
)

const (
	// outOfStepGap is the time before each event, so that streams break off soon after the newer release joined.
	outOfStepGap = 40 * time.Millisecond
	// joinsAfter is the time from the begin of a fault until engines of the newer release join.
	joinsAfter = 200 * time.Millisecond
	// outOfStepLeaving makes every client leave its stream in the middle, in percent.
	outOfStepLeaving = 100
)

// outOfStepCase is one way in which a daemon knows less than the others when engines of a newer release join.
type outOfStepCase struct {
	name string
	// prepare changes the daemon before it starts; nil changes nothing.
	prepare func(t *testing.T, late *process)
	// begin begins the fault of the daemon and returns the function that ends it; nil means none.
	begin func(testbed *testbed, late *process) (end func())
	// settle is the time from the moment in which the newer release joins until clients begin streams, and length is how long the
	// fault lasts from then on.
	settle, length time.Duration
	// anyShare states that the daemon reaches nothing that could tell it the origins of streams.
	anyShare bool
}

// suspended stops the daemon for the length of the fault.
func suspended(testbed *testbed, late *process) func() {
	late.suspend()
	return func() { late.resume(testbed.checker) }
}

// slowStore is a store that takes over half a second for a call.
var slowStore = proxyFault{delay: 300 * time.Millisecond}

// suspendedWithSlowStore stops the daemon for the length of the fault. Its store is slow before, meanwhile and after that.
func suspendedWithSlowStore(testbed *testbed, late *process) func() {
	late.store.begin(slowStore)
	time.Sleep(time.Second)
	return suspended(testbed, late)
}

// withStoreFault makes the store slow or silent for the daemon.
func withStoreFault(fault proxyFault) func(*testbed, *process) func() {
	return func(_ *testbed, late *process) func() { return late.store.begin(fault) }
}

// separate gives the daemon an address that the others do not know, and no address of theirs.
func separate(t *testing.T, late *process) {
	content, err := os.ReadFile(late.settings)
	if err != nil {
		t.Fatal(err)
	}
	unknown, err := freeAddresses(strings.Split(late.client, ":")[0], 2)
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(string(content), "\n")
	for index, line := range lines {
		switch {
		case strings.HasPrefix(line, "PeerAddress:"):
			lines[index] = `PeerAddress: "` + unknown[0] + `"`
		case strings.HasPrefix(line, "Seeds:"):
			lines[index] = `Seeds: ["` + unknown[1] + `"]`
		}
	}
	if err := os.WriteFile(late.settings, []byte(strings.Join(lines, "\n")), 0o600); err != nil {
		t.Fatal(err)
	}
}

var outOfStepCases = []outOfStepCase{
	{name: "in step", length: 2 * time.Second},
	{name: "suspended for 3 s", begin: suspended, settle: time.Second, length: 2 * time.Second},
	{name: "suspended for 1.8 s, the store is slow", begin: suspendedWithSlowStore, settle: time.Second, length: 600 * time.Millisecond},
	{name: "suspended for 3 s, the store is slow", begin: suspendedWithSlowStore, settle: time.Second, length: 1800 * time.Millisecond},
	{name: "the store is slow", begin: withStoreFault(slowStore), length: 3 * time.Second},
	{name: "the store is silent", begin: withStoreFault(proxyFault{stalls: true}), settle: 400 * time.Millisecond, length: 3 * time.Second},
	{name: "cut off from the other daemons", prepare: separate, length: 2 * time.Second, anyShare: true},
	{name: "cut off from the other daemons and the store", prepare: separate, begin: withStoreFault(proxyFault{stalls: true}), settle: 400 * time.Millisecond, length: 3 * time.Second, anyShare: true},
}

// TestDaemonOutOfStepDuringARelease guards against issue 47: streams that began at engines of a newer release through other daemons
// were taken up at a daemon that had not learnt of that release, and went on at an engine of the older one.
func TestDaemonOutOfStepDuringARelease(t *testing.T) {
	binary := build(t)
	for index, c := range outOfStepCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := 5600 + uint64(index)
			testbed := newTestbed(t, *frontsFlag, binary, seed)
			late := testbed.fronts[len(testbed.fronts)-1]
			if c.prepare != nil {
				c.prepare(t, late)
			}
			stopDaemons := testbed.serve(4 * time.Second)
			stop := make(chan struct{})
			chains := testbed.runOutOfStep(t, c, late, seed, stop)
			stopDaemons()
			close(stop)
			checkReleases(t, releaseCase{anyShare: c.anyShare}, chains)
		})
	}
}

// runOutOfStep runs the clients of one case, who begin streams at the other daemons and take them up at the late one, and returns
// their streams.
func (testbed *testbed) runOutOfStep(t *testing.T, c outOfStepCase, late *process, seed uint64, stop <-chan struct{}) []*chain {
	end := func() {}
	if c.begin != nil {
		end = c.begin(testbed, late)
	}
	time.Sleep(joinsAfter)
	testbed.startReleases(t, stop)
	for _, replica := range testbed.replicas {
		replica.withLock(func() { replica.gap = outOfStepGap })
	}
	time.Sleep(c.settle)
	ctx, cancel := context.WithTimeout(context.Background(), c.length+time.Second)
	defer cancel()
	wait := testbed.startStreamClients(ctx, releaseClients, streamClient{name: "l", leaving: outOfStepLeaving, models: 1, takesUpAt: late.client}, seed, 0)
	time.Sleep(c.length)
	end()
	return wait()
}
