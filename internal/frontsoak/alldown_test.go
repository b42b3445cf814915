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
	// rewriteTime is how long rows that a copy of the store lacks stay absent: replicas write them again within about 2 s.
	rewriteTime = 1500 * time.Millisecond
	// minResumed is the share of the streams that must go on if replicas of their release serve: half of that of new streams.
	minResumed = 0.5
)

// allDownCase is what happens while all daemons are down.
type allDownCase struct {
	name string
	// before prepares the replicas; nil prepares nothing.
	before func(testbed *testbed, t *testing.T, stop <-chan struct{})
	// meanwhile happens while the daemons are down, and after once they start again; nil is nothing.
	meanwhile func(testbed *testbed, t *testing.T, stop <-chan struct{})
	after     func(testbed *testbed)
	// share is the share of the streams taken up that must go on; zero if the release that began them may have no replica left, or if
	// their origins were lost.
	share float64
}

// replaceRelease has engines of the newer release take the place of those of the older one.
func (testbed *testbed) replaceRelease(t *testing.T, stop <-chan struct{}) {
	testbed.startReleases(t, stop)
	time.Sleep(100 * time.Millisecond)
	testbed.retireOldRelease()
	time.Sleep(time.Second)
}

// listNewRelease sets whether the engines of the newer release write their rows.
func (testbed *testbed) listNewRelease(listed bool) {
	for _, replica := range testbed.replicas {
		replica.withLock(func() {
			if replica.release == "v2" {
				replica.unlisted = !listed
			}
		})
	}
}

var allDownCases = []allDownCase{
	{name: "nothing else", share: minResumed},
	{name: "the only release is replaced", meanwhile: (*testbed).replaceRelease},
	{
		name: "the store comes back without the newer release",
		before: func(testbed *testbed, t *testing.T, stop <-chan struct{}) {
			testbed.startReleases(t, stop)
			time.Sleep(2 * time.Second)
		},
		meanwhile: func(testbed *testbed, _ *testing.T, _ <-chan struct{}) {
			testbed.listNewRelease(false)
			testbed.store.restore(allDownAfter + 3*time.Second)
			testbed.configure()
		},
		after: func(testbed *testbed) {
			time.Sleep(rewriteTime)
			testbed.listNewRelease(true)
		},
	},
}

// TestStreamsOutliveAllDaemons guards against review/1: after all daemons had ended at once, those that started took the only release
// that they saw for the one that began every stream, also if another one had served before or was missing in a copy of the store.
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
			checkTakeUps(t, chains, c.share)
		})
	}
}

// runAllDown runs the clients of one case and returns their streams.
func (testbed *testbed) runAllDown(t *testing.T, c allDownCase, seed uint64, stop <-chan struct{}) []*chain {
	if c.before != nil {
		c.before(testbed, t, stop)
	}
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
	if c.after != nil {
		c.after(testbed)
	}
	return wait()
}
