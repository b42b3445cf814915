package frontsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"
)

const (
	// newEngineCount is the number of engines of the newer release.
	newEngineCount = 3
	// releaseGap is the time before each event: streams last long enough to be broken midway.
	releaseGap = 100 * time.Millisecond
	// releaseClients is the number of clients, and releaseDuration how long they begin streams.
	releaseClients  = 24
	releaseDuration = 9 * time.Second
	// takeUpDeadline is how long a client tries to complete a stream.
	takeUpDeadline = 6 * time.Second
	// takeUpPrefix begins the identifiers of requests for streams that clients take up.
	takeUpPrefix = "takeup-"
	// soakTakeUpClients is the number of clients that take streams up in a run with other faults, and soakLeaving the share of
	// streams that they leave, in percent.
	soakTakeUpClients = 4
	soakLeaving       = 30
	// restartTime is how long an engine is down that starts again with another release.
	restartTime = 300 * time.Millisecond
	// minTakenUp is the share of the streams taken up that must go on to their end.
	minTakenUp = 0.9
)

// releaseCase is one way in which streams are broken while two releases serve.
type releaseCase struct {
	name string
	// leaving is the share of streams whose clients leave in the middle, in percent.
	leaving int
	// inject breaks streams while clients run.
	inject func(testbed *testbed)
	// anyShare states that the release that began a stream may have no replica left.
	anyShare bool
}

// startReleases adds engines of a newer release to the testbed.
func (testbed *testbed) startReleases(t *testing.T, stop <-chan struct{}) {
	for _, replica := range testbed.replicas {
		replica.withLock(func() { replica.gap = releaseGap })
	}
	for number := range newEngineCount {
		next, err := newReplica(fmt.Sprintf("n-%d", number), engineService, fmt.Sprintf("z%d", number%2), testbed.checker, testbed.store)
		if err != nil {
			t.Fatal(err)
		}
		next.release, next.gap = "v2", releaseGap
		testbed.replicas = append(testbed.replicas, next)
		go next.heartbeat(stop)
	}
}

// repeat calls the function at the interval, count times, after one interval.
func repeat(count int, interval time.Duration, apply func(number int)) {
	for number := range count {
		time.Sleep(interval)
		apply(number)
	}
}

// retireOldRelease removes the rows of the engines of the older release, which go on with what they run.
func (testbed *testbed) retireOldRelease() {
	for _, replica := range testbed.replicas {
		replica.withLock(func() {
			if replica.service == engineService && replica.release == "v1" {
				replica.unlisted = true
				testbed.store.put("servers", replica.id, nil)
			}
		})
	}
}

// replaceOldRelease has the engines of the older release leave one after the other. Each starts again with the newer release.
func (testbed *testbed) replaceOldRelease() {
	repeat(engineCount, 2*time.Second, func(number int) {
		replica := testbed.replicas[number]
		replica.withLock(func() { replica.nextRelease = "v2" })
		replica.drain()
	})
}

var releaseCases = []releaseCase{
	{name: "clients leave", leaving: 40, inject: func(*testbed) {}},
	{name: "engines break streams off", inject: func(testbed *testbed) {
		repeat(16, 500*time.Millisecond, func(number int) {
			replica := testbed.replicas[number%engineCount]
			replica.withLock(func() { replica.brokenResponses = 3 })
		})
	}},
	{name: "one daemon is killed after the other", inject: func(testbed *testbed) {
		repeat(4, 2*time.Second, func(number int) { testbed.fronts[number%len(testbed.fronts)].signal(syscall.SIGKILL) })
	}},
	{name: "all daemons are killed", inject: func(testbed *testbed) {
		repeat(2, 4*time.Second, func(int) { testbed.signalAll(syscall.SIGKILL) })
	}},
	{name: "all daemons are killed after the old release left", anyShare: true, inject: func(testbed *testbed) {
		time.Sleep(4 * time.Second)
		testbed.retireOldRelease()
		time.Sleep(400 * time.Millisecond)
		testbed.signalAll(syscall.SIGKILL)
	}},
	{name: "the old release is replaced", leaving: 100, inject: (*testbed).replaceOldRelease},
}

// TestStreamsHaveEventsOfOneRelease guards against issue 42: streams that were taken up, at any daemon or within one answer,
// went on at an engine of another software version than the one that began them.
func TestStreamsHaveEventsOfOneRelease(t *testing.T) {
	binary := build(t)
	for index, c := range releaseCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := 5200 + uint64(index)
			testbed, stopDaemons := newServingTestbed(t, binary, seed, 0)
			stop := make(chan struct{})
			testbed.startReleases(t, stop)
			time.Sleep(3 * time.Second)
			chains := testbed.runReleaseCase(c, seed)
			stopDaemons()
			close(stop)
			checkReleases(t, c, chains)
		})
	}
}

// runReleaseCase runs the clients of one case and returns their streams.
func (testbed *testbed) runReleaseCase(c releaseCase, seed uint64) []*chain {
	ctx, cancel := context.WithTimeout(context.Background(), releaseDuration)
	defer cancel()
	wait := testbed.startStreamClients(ctx, releaseClients, streamClient{name: "r", leaving: c.leaving, models: 1}, seed, 0)
	c.inject(testbed)
	return wait()
}

// checkReleases checks that no stream has events of two releases, and that enough of those taken up went on.
func checkReleases(t *testing.T, c releaseCase, chains []*chain) {
	wanted := minTakenUp
	if c.anyShare {
		wanted = 0
	}
	checkTakeUps(t, chains, wanted)
}

// checkTakeUps checks that no stream has events of two releases, and that the wanted share of those taken up went on.
func checkTakeUps(t *testing.T, chains []*chain, wanted float64) {
	joined, takenUp, wentOn := 0, 0, 0
	for _, chain := range chains {
		if len(chain.releases) > 1 {
			joined++
		}
		if chain.takenUp {
			takenUp++
			if chain.complete {
				wentOn++
			}
		}
	}
	t.Logf("%d streams, %d taken up, %d of these went on, %d have events of two releases", len(chains), takenUp, wentOn, joined)
	if joined > 0 {
		t.Errorf("%d of %d streams have events of two releases", joined, len(chains))
	}
	if share := float64(wentOn) / float64(max(takenUp, 1)); takenUp > 0 && share < wanted {
		t.Errorf("%.2f of %d streams that were taken up went on, at least %.2f wanted", share, takenUp, wanted)
	}
}

// startTakeUps starts clients that take streams up until the context ends, and returns a function that waits for them and returns
// their streams. Engines of two releases serve, and some have another one after a restart.
func (testbed *testbed) startTakeUps(ctx context.Context, seed uint64) func() []*chain {
	random := rand.New(rand.NewPCG(seed, 11))
	wait := testbed.startStreamClients(ctx, soakTakeUpClients, streamClient{name: "s", leaving: soakLeaving, models: modelCount}, seed, 20)
	for _, replica := range testbed.replicas[:engineCount] {
		next := fmt.Sprint("v", 1+random.IntN(3))
		replica.withLock(func() { replica.nextRelease = next })
	}
	testbed.replicas[0].withLock(func() { testbed.replicas[0].nextRelease = "v2" })
	testbed.replicas[0].crash(restartTime)
	return wait
}
