package frontsoak

import (
	"context"
	"testing"
	"time"
)

const (
	// allDownWarmUp is how long the daemons serve before clients begin streams, and allDownAfter how long clients do so before all
	// daemons end.
	allDownWarmUp = 4 * time.Second
	allDownAfter  = time.Second
	// allDownClients is the number of clients; each begins one stream after the other for allDownBegin.
	allDownClients = 24
	allDownBegin   = 1200 * time.Millisecond
	// minResumed is the share of the streams that must go on if replicas of their release serve: half of that of new streams.
	minResumed = 0.5
)

// allDownCase is what happens while all daemons are down.
type allDownCase struct {
	name string
	// meanwhile happens while the daemons are down; nil is nothing.
	meanwhile func(testbed *testbed, t *testing.T, stop <-chan struct{})
	// anyShare states that the release that began a stream may have no replica left.
	anyShare bool
}

// replaceRelease has engines of the newer release take the place of those of the older one.
func (testbed *testbed) replaceRelease(t *testing.T, stop <-chan struct{}) {
	testbed.startReleases(t, stop)
	time.Sleep(100 * time.Millisecond)
	testbed.retireOldRelease()
	time.Sleep(time.Second)
}

var allDownCases = []allDownCase{
	{name: "nothing else", anyShare: false},
	{name: "the only release is replaced", anyShare: true, meanwhile: (*testbed).replaceRelease},
}

// TestStreamsOutliveAllDaemons guards against review/1: after all daemons had ended at once, those that started took the only release
// that they saw for the one that began every stream, also if another one had served before.
func TestStreamsOutliveAllDaemons(t *testing.T) {
	binary := build(t)
	for index, c := range allDownCases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			seed := 5800 + uint64(index)
			testbed, stopDaemons := newServingTestbed(t, binary, seed, 0)
			for _, replica := range testbed.replicas {
				replica.withLock(func() { replica.gap = releaseGap })
			}
			time.Sleep(allDownWarmUp)
			stop := make(chan struct{})
			chains := testbed.runAllDown(t, c, seed, stop)
			stopDaemons()
			close(stop)
			checkAllDown(t, c, chains)
		})
	}
}

// runAllDown runs the clients of one case and returns their streams.
func (testbed *testbed) runAllDown(t *testing.T, c allDownCase, seed uint64, stop <-chan struct{}) []*chain {
	ctx, cancel := context.WithTimeout(context.Background(), allDownBegin)
	defer cancel()
	wait := testbed.startStreamClients(ctx, allDownClients, streamClient{name: "d", models: 1}, seed, 0)
	time.Sleep(allDownAfter)
	var releases []func()
	for _, front := range testbed.fronts {
		releases = append(releases, front.hold())
	}
	if c.meanwhile != nil {
		c.meanwhile(testbed, t, stop)
	}
	for _, release := range releases {
		release()
	}
	return wait()
}

// checkAllDown checks that no stream has events of two releases, and that enough of those taken up went on.
func checkAllDown(t *testing.T, c allDownCase, chains []*chain) {
	joined, takenUp, wentOn := 0, 0, 0
	for _, chain := range chains {
		joined += min(len(chain.releases)-1, 1)
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
	if share := float64(wentOn) / float64(max(takenUp, 1)); share < minResumed && !c.anyShare {
		t.Errorf("%.2f of %d streams that were taken up went on, at least %.2f wanted", share, takenUp, minResumed)
	}
}
