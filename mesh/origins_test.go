package mesh

import (
	"context"
	"maps"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/mesh/meshpb"
	"github.com/bronzestall/bronzestall/origin"
)

// TestSightingsRoundTrip covers what daemons tell each other of releases, also daemons of an older build, which tell no ages.
func TestSightingsRoundTrip(t *testing.T) {
	sent := map[string]time.Duration{"v1": 5 * time.Second, "v2": 0}
	asked := OriginQuery{}
	node := &Node{deps: Deps{Origins: func(_ context.Context, query OriginQuery) OriginAnswer {
		asked = query
		return OriginAnswer{Lately: origin.Sightings{"s": sent}, Confirmed: true}
	}}}
	answer, err := node.serveOrigins(t.Context(), &meshpb.OriginQuery{Attempts: make([]string, MaxOriginQuery+1), Confirm: true})
	if err != nil || !answer.GetConfirmed() || !asked.Confirm || len(asked.Attempts) != MaxOriginQuery {
		t.Fatalf("the answer to a query of %d attempts, confirm %v, is %v, %v", len(asked.Attempts), asked.Confirm, answer, err)
	}
	for name, c := range map[string]struct {
		encoded *meshpb.ServiceReleases
		want    map[string]time.Duration
	}{
		"with ages": {answer.GetServices()[0], sent},
		"no ages":   {&meshpb.ServiceReleases{Service: "s", Releases: []string{"v1", "v2"}}, map[string]time.Duration{"v1": 0, "v2": 0}},
		"too few":   {&meshpb.ServiceReleases{Service: "s", Releases: []string{"v1", "v2"}, Ages: []uint64{7}}, map[string]time.Duration{"v1": 7 * time.Millisecond, "v2": 0}},
	} {
		got := origin.Sightings{}
		if addSightings(got, c.encoded); !maps.Equal(got["s"], c.want) {
			t.Errorf("%s: decoded %v, want %v", name, got, c.want)
		}
	}
}
