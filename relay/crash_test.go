package relay

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/topology"
)

// TestWaitingRequestIsRefusedWhenOthersTell guards against issue 22: a request that waits for its model passed the check
// before the last crash that is held against it, which another daemon saw.
func TestWaitingRequestIsRefusedWhenOthersTell(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(ok(events(1, 9)))
		site.show()
		begun := time.Now()
		time.AfterFunc(500*time.Millisecond, func() {
			fingerprint := site.request("/stream/x").Fingerprint()
			suspect := quarantine.Suspect{Fingerprint: fingerprint, Until: time.Now().Add(time.Minute)}
			for n := range suspectLimit {
				suspect.Crashes = append(suspect.Crashes, quarantine.Crash{Upstream: fmt.Sprint(n)})
			}
			site.relay.deps.Suspects.Import([]quarantine.Suspect{suspect}, time.Now())
		})
		time.AfterFunc(time.Second, func() { site.show("m") })
		failure := site.serve(t.Context(), "/stream/x")
		if failure == nil || failure.Kind != outcome.Quarantined || len(site.upstream.attempts) != 0 {
			t.Errorf("ended as %v after %d sendings", failure, len(site.upstream.attempts))
		}
		if took := time.Since(begun); took != 500*time.Millisecond {
			t.Errorf("refused after %v", took)
		}
	})
}

// TestReplicaThatFallsDarkCounts guards against issue 22: a replica that ends without a word breaks no connection; the
// attempt ends as its client leaves or at its deadline, and the end of the replica is known later.
func TestReplicaThatFallsDarkCounts(t *testing.T) {
	for _, patience := range []time.Duration{300 * time.Millisecond, time.Minute} {
		synctest.Test(t, func(t *testing.T) {
			site := newSite(step{silent: true}, step{silent: true}, step{silent: true}, ok("yes"))
			for range suspectLimit {
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				_ = site.serve(ctx, "/once/x")
				cancel()
				for _, id := range []string{"plaina", "plainb"} {
					site.relay.deps.Suspects.ReplicaEnded(CrashOf(topology.Incarnation{ID: id}), time.Now())
				}
			}
			if failure := site.serve(t.Context(), "/once/x"); failure == nil || failure.Kind != outcome.Quarantined {
				t.Errorf("with the patience %v the request ended as %v", patience, failure)
			}
		})
	}
}
