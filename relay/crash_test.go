package relay

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
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
