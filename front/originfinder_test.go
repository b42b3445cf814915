package front

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/origin"
)

// TestInventedAttemptsShareLookups covers clients that take up streams that never were: what cannot be an attempt is not looked up,
// and a flood of others costs few lookups, which name a bounded number.
func TestInventedAttemptsShareLookups(t *testing.T) {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	daemon.origins.CompleteAt(daemon.origins.Gaps())
	daemon.origins.SetServing(origin.Releases{"s": {"v1", "v2"}}, daemon.clock.Now())
	known := streamOrigins{daemon}
	if _, source := known.Find(t.Context(), strings.Repeat("x", 10<<10), "s"); source != origin.Unknown || daemon.originFinder.gathering != nil {
		t.Errorf("an ID of 10 KB is looked up, source %s", source)
	}
	var clients sync.WaitGroup
	for number := range 2 * mesh.MaxOriginQuery {
		clients.Go(func() {
			if found, source := known.Find(t.Context(), fmt.Sprint("invented-", number), "s"); source != origin.Unknown {
				t.Errorf("a stream that never was began at %+v, %s", found, source)
			}
		})
	}
	clients.Wait()
	daemon.origins.Begin(origin.Stream{Origin: origin.Origin{Service: "s", Release: "v2"}, ID: "real"}, daemon.clock.Now())
	if found, source := known.Find(t.Context(), "real", "s"); found.Release != "v2" || source != origin.Own {
		t.Errorf("a stream of the daemon began at %+v, %s", found, source)
	}
}
