package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
)

// TestNoWaitWithoutAHolder guards against requests that are held until their clients leave while the store is down and no daemon may
// order the load of their model. Those that began to wait before are refused too, and with a holder requests wait as before.
func TestNoWaitWithoutAHolder(t *testing.T) {
	for _, c := range []struct {
		name   string
		holder bool
		lostAt time.Duration
		within time.Duration
	}{
		{"no holder", false, 0, time.Millisecond},
		{"the holder is lost while the request waits", true, time.Second, time.Second + loadPollInterval},
		{"a holder", true, time.Hour, 10 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := newFixture()
				fixture.setModels()
				begun := time.Now()
				fixture.relay.deps.MayLoad = func() bool { return c.holder && time.Since(begun) < c.lostAt }
				failure := fixture.serve(t.Context(), "/stream/x")
				if took := time.Since(begun); failure == nil || failure.Kind != outcome.NoReplica || took > c.within {
					t.Errorf("ended after %v as %v", took, failure)
				}
				if !c.holder && failure.RetryAfter < 3*time.Second {
					t.Errorf("the client may return after %v of the 10 s that it has", failure.RetryAfter)
				}
			})
		})
	}
}
