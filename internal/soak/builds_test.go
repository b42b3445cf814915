package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/protocol"
)

// TestOperatorsSeeTheBuildsOfAllDaemons checks that the status report of a daemon and the metrics tell who runs which build.
func TestOperatorsSeeTheBuildsOfAllDaemons(t *testing.T) {
	build := protocol.Build()
	synctest.Test(t, func(t *testing.T) {
		testbed := newTestbed(t, 2)
		defer testbed.close()
		time.Sleep(20 * time.Second)
		report, ok := testbed.report(testbed.entries[0])
		if !ok || report.Daemon.Build != build || report.Daemon.Protocol != int64(protocol.Current) || len(report.Peers) != len(testbed.entries)-1 {
			t.Errorf("the report is %+v, %t", report, ok)
		}
		for _, other := range report.Peers {
			if other.Build != build || other.Protocol != int64(protocol.Current) {
				t.Errorf("the build of %s is %q with protocol %d, want %q with %d", other.Name, other.Build, other.Protocol, build, protocol.Current)
			}
		}
		if sum := testbed.metric(`bronzestall_build{subject="` + build); sum != float64(len(testbed.entries))*float64(protocol.Current) {
			t.Errorf("the metrics of the builds add up to %v", sum)
		}
	})
}
