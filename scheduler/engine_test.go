package scheduler

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// TestLoadingAdaptersOccupySlots guards against exceeding the adapter limit of an engine after a lost response or
// a change of the lease holder. A report lists adapters that are still loading apart from the loaded ones, and
// both occupy slots.
func TestLoadingAdaptersOccupySlots(t *testing.T) {
	now := epoch
	engine := newEngine(&topology.Replica{Incarnation: topology.Incarnation{ID: "e", Started: 1}, Service: "s"})
	engine.uncertain, engine.uncertainSince = true, now.Add(-time.Second)
	engine.applyReport(topology.Holding{
		Orders: 3,
		Models: []topology.LoadedModel{{Model: "m", Adapters: []string{"a1", "a2"}}},
		Coming: []topology.Adapter{{Model: "m", Name: "a3"}, {Model: "gone", Name: "a1"}},
	}, now)
	if engine.uncertain || engine.holding.AdapterCount() != 3 {
		t.Errorf("%d adapters occupy slots, want 3", engine.holding.AdapterCount())
	}
	if usable := engine.usableHolding(); usable.Has("m", "a3") || !usable.Has("m", "a2") {
		t.Errorf("usable is %+v", usable)
	}
	engine.completeAdapters(now.Add(time.Minute))
	if usable := engine.usableHolding(); !usable.Has("m", "a3") {
		t.Error("the adapter never becomes usable")
	}
}
