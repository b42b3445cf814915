package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// TestRefusedRequestsAreDemand guards against copies that are not ordered because the requests that replicas have no room for leave
// no trace.
func TestRefusedRequestsAreDemand(t *testing.T) {
	for _, c := range []struct {
		path  string
		pause time.Duration
		want  int
	}{{"/stream/x", 5 * time.Second, 1}, {"/stream/x", 0, 1}, {"/once/x", 5 * time.Second, 0}} {
		synctest.Test(t, func(t *testing.T) {
			fixture := newFixture(repeated(9, func() step { return rejected(false) })...)
			now := time.Now()
			for _, id := range []string{"enginea", "engineb", "plaina", "plainb"} {
				fixture.relay.deps.Notices.SetBackoff(topology.Incarnation{ID: id}, now.Add(c.pause), now)
			}
			failure := fixture.serve(t.Context(), c.path)
			if failure == nil {
				t.Fatal("the request was answered")
			}
			refused := 0
			demands, _ := fixture.demand.Snapshot(time.Now())
			for _, entry := range demands {
				if entry.Refused > 0 {
					refused++
				}
			}
			if refused != c.want {
				t.Errorf("%s, pause of %v: %d models have refused requests after %v, want %d", c.path, c.pause, refused, failure, c.want)
			}
		})
	}
}
