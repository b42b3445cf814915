package frontsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"
)

const (
	// minUpgradeShare is the least share of first tries served during an upgrade, as a part of that while daemons of one build are
	// stopped and started in the same way.
	minUpgradeShare = 0.98
	// shareClients is the number of clients, and sharePause the longest pause of each between two requests.
	shareClients = 12
	sharePause   = 80 * time.Millisecond
	// halfTime is the time for which half of the daemons are of each build, and configureInterval that between two configurations.
	halfTime          = 30 * time.Second
	configureInterval = 3 * time.Second
)

// TestUpgradeServesAsOneBuild measures the share of first tries served, without faults, while daemons are upgraded, go back and are
// upgraded again, against the same with one build. It takes a minute and more, and runs only when -seed is given.
func TestUpgradeServesAsOneBuild(t *testing.T) {
	compareBuilds(t, measureReplacements)
}

// TestHalfOfTheDaemonsServesAsOneBuild measures the share of first tries served, without faults, while half of the daemons are of each
// build, against the same with one build. It takes a minute and more, and runs only when -seed is given.
func TestHalfOfTheDaemonsServesAsOneBuild(t *testing.T) {
	compareBuilds(t, measureHalf)
}

// compareBuilds checks that two builds serve as much as one by the measure, which returns the share of first tries served.
func compareBuilds(t *testing.T, measure func(t *testing.T, older, newer string, seed uint64) float64) {
	if *seedFlag == 0 {
		t.Skip("NOT TESTED: a measurement, which runs by hand with -seed")
	}
	older, newer := buildCommit(t, *olderFlag), build(t)
	for _, seed := range seedsOr(nil) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			one := measure(t, newer, newer, seed)
			two := measure(t, older, newer, seed)
			t.Logf("served first tries: one build %.4f, two builds %.4f", one, two)
			if two < minUpgradeShare*one {
				t.Errorf("%.4f of the first tries are served with two builds, %.4f with one", two, one)
			}
		})
	}
}

// measureReplacements replaces all daemons of the older build by the newer one, back and forth again, and returns the share of first
// tries served meanwhile.
func measureReplacements(t *testing.T, older, newer string, seed uint64) float64 {
	random := rand.New(rand.NewPCG(seed, 48))
	return measureShare(t, older, seed, func(*testbed) {}, func(testbed *testbed) {
		for _, binary := range []string{newer, older, newer} {
			testbed.replaceAll(t, random, upgradePass{binary, syscall.SIGTERM})
		}
	})
}

// measureHalf replaces half of the daemons of the older build by the newer one, and returns the share of first tries served in the
// time after that, with a new configuration every configureInterval.
func measureHalf(t *testing.T, older, newer string, seed uint64) float64 {
	prepare := func(testbed *testbed) {
		for _, front := range testbed.fronts[:len(testbed.fronts)/2] {
			front.replace(upgradePass{newer, syscall.SIGTERM})
		}
	}
	return measureShare(t, older, seed, prepare, func(testbed *testbed) {
		for end := time.Now().Add(halfTime); time.Now().Before(end); time.Sleep(configureInterval) {
			testbed.configure()
		}
	})
}

// measureShare starts daemons of the build, prepares them, and returns the share of first tries served during what follows. Violations
// fail the test.
func measureShare(t *testing.T, binary string, seed uint64, prepare, during func(testbed *testbed)) float64 {
	testbed := newTestbed(t, *upgradeFrontsFlag, binary, seed)
	testbed.checker.streams = eventForm{plain: true}
	stop := testbed.serve(3 * time.Second)
	prepare(testbed)
	ctx, cancel := context.WithCancel(context.Background())
	result := &cutResult{sent: map[string]int{}, served: map[string]int{}}
	wait := testbed.startShareClients(ctx, seed, result)
	during(testbed)
	cancel()
	wait()
	restarts := testbed.restarts()
	stop()
	violations := testbed.checker.finish()
	for _, violation := range violations {
		t.Error(violation)
	}
	var all []int
	for number := range testbed.fronts {
		all = append(all, number)
	}
	share, count := result.share(all)
	t.Logf("%.4f of %d first tries served, %d violations, %d daemons started anew", share, count, len(violations), restarts)
	return share
}

// restarts returns how often daemons were started again, replacements included.
func (testbed *testbed) restarts() int {
	count := 0
	for _, front := range testbed.fronts {
		front.mutex.Lock()
		count += len(front.started) - 1
		front.mutex.Unlock()
	}
	return count
}

// startShareClients starts clients that send requests to daemons that are ready, as a balancer does, until the context ends, and
// returns what waits for them.
func (testbed *testbed) startShareClients(ctx context.Context, seed uint64, result *cutResult) (wait func()) {
	var clients sync.WaitGroup
	for number := range shareClients {
		client := newClient(fmt.Sprint("u", number), testbed.checker, seed*100+uint64(number), testbed.addresses())
		random := rand.New(rand.NewPCG(seed, uint64(number)))
		clients.Go(func() {
			for count := 0; ctx.Err() == nil; count++ {
				time.Sleep(time.Duration(random.Int64N(int64(sharePause))))
				front := testbed.fronts[random.IntN(len(testbed.fronts))]
				if front.isReady() {
					kind := []string{pathCall, pathLookup, pathStream, pathResume}[count%4]
					result.record(front.name, client.send(context.Background(), kind, front.client))
				}
			}
		})
	}
	return clients.Wait
}
