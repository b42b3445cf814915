package soak

import (
	"testing"
	"testing/synctest"
	"time"
)

// TestCrashRequestAcrossDaemons guards against a request that crashes more than maxCrashed engines of a data centre when
// it is sent repeatedly through all daemons, also if daemons or engines are replaced in between.
func TestCrashRequestAcrossDaemons(t *testing.T) {
	for _, test := range []struct {
		name string
		// between is called after each of the two rounds of requests.
		between func(testbed *testbed)
	}{
		{"no fault", func(*testbed) {}},
		{"daemon of a data centre replaced", func(testbed *testbed) { testbed.replace(testbed.entries[3]) }},
		{"daemon of a data centre killed", func(testbed *testbed) { testbed.kill(testbed.entries[3], 10*time.Second) }},
		{"engines reclaimed", func(testbed *testbed) {
			testbed.reclaim("engine-west-0", true)
			testbed.reclaim("engine-north-0", false)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				testbed := newReadyTestbed(t)
				defer testbed.close()
				checker := newChecker(testbed)
				for range 2 {
					testbed.sendCrashesAtOnce(1, "CRASH-THE-ENGINE now")
					test.between(testbed)
					time.Sleep(20 * time.Second)
				}
				for _, violation := range checker.finish() {
					t.Error(violation)
				}
			})
		})
	}
}
