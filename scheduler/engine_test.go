package scheduler

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// TestAdaptersOnTheirWayTakePlaces covers many adapters on their way at once, each slow, when an answer is lost or a new
// holder begins: a report lists those on their way apart, and the engine has no more places than both leave.
func TestAdaptersOnTheirWayTakePlaces(t *testing.T) {
	now := dawn
	known := newEngine(&topology.Replica{Incarnation: topology.Incarnation{ID: "e", Started: 1}, Service: "s"})
	known.doubt, known.doubtSince = true, now.Add(-time.Second)
	known.learn(topology.Holding{
		Orders: 3,
		Models: []topology.LoadedModel{{Model: "m", Adapters: []string{"a1", "a2"}}},
		Coming: []topology.Adapter{{Model: "m", Name: "a3"}, {Model: "gone", Name: "a1"}},
	}, now)
	if known.doubt || known.holding.AdapterCount() != 3 {
		t.Errorf("%d adapters take places, want 3", known.holding.AdapterCount())
	}
	if usable := known.usable(); usable.Has("m", "a3") || !usable.Has("m", "a2") {
		t.Errorf("usable is %+v", usable)
	}
	known.arrived(now.Add(time.Minute))
	if usable := known.usable(); !usable.Has("m", "a3") {
		t.Error("the adapter never becomes usable")
	}
}
