package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestStopAnswersWhatItCuts guards against callers that got neither an answer nor a refusal when a stop cut their requests
// at the end of the drain.
func TestStopAnswersWhatItCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		testbed := newReadyTestbed(t)
		defer testbed.close()
		stopped := testbed.entries[0]
		results := map[bool]chan result{true: make(chan result, 1), false: make(chan result, 1)}
		for stream, ended := range results {
			caller := newCaller(testbed, 1)
			caller.pinnedEntry = stopped
			defer caller.close()
			// Such a response takes longer than the drain.
			go func() { ended <- caller.chat("round", stream, 100_000) }()
		}
		time.Sleep(2 * time.Second)
		testbed.replace(stopped)
		for stream, ended := range results {
			if got := <-ended; got.lost || got.complete || got.execution == "" {
				t.Errorf("with stream %t: %+v", stream, got)
			}
		}
	})
}
