package soak

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestPausedEnginesCostNoRequest guards against issue 33: requests of engines that sent nothing for one to two seconds, and
// then went on, were begun anew.
func TestPausedEnginesCostNoRequest(t *testing.T) {
	const callers, calls = 6, 10
	synctest.Test(t, func(t *testing.T) {
		testbed := newReadyTestbed(t)
		defer testbed.close()
		warm := newCaller(testbed, 1)
		defer warm.close()
		for _, target := range []string{"round", "plan"} {
			warm.chat(target, true, 5)
		}
		paused := make(chan struct{})
		var pauses, all sync.WaitGroup
		pauses.Go(func() { testbed.pauseEngines(paused) })
		for number := range callers {
			caller := newCaller(testbed, uint64(number))
			defer caller.close()
			all.Go(func() {
				for call := range calls {
					got := caller.chat([]string{"round", "plan"}[call%2], call%3 > 0, 150)
					if runs := testbed.runs(got.id); !got.complete || runs != 1 {
						t.Errorf("a request ran %d times: %+v", runs, got)
					}
				}
			})
		}
		all.Wait()
		close(paused)
		pauses.Wait()
	})
}

// pauseEngines pauses one engine after the other, and all together, for 1.2 s or 1.9 s until done is closed.
func (testbed *testbed) pauseEngines(done <-chan struct{}) {
	for round := 0; ; round++ {
		select {
		case <-done:
			return
		case <-time.After(time.Second):
		}
		length := []time.Duration{1200 * time.Millisecond, 1900 * time.Millisecond}[round%2]
		for index, member := range testbed.members {
			if round%4 == 3 || index == round%len(testbed.members) {
				testbed.network.freeze(member.Name)
			}
		}
		time.Sleep(length)
		for _, member := range testbed.members {
			testbed.network.unfreeze(member.Name)
		}
	}
}
