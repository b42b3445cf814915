package decider

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/placement"
)

// TestNoUpstreamIsNotReportedBeforeEnginesAreSeen covers a daemon that decides before its
// engines have responded once: a request for a model that they can hold must not be refused as
// if none could.
func TestNoUpstreamIsNotReportedBeforeEnginesAreSeen(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		// seen states that the engines respond, and after is the age of the term at the check.
		seen  bool
		after time.Duration
		// weights is the size of the model in GiB.
		weights int64
		known   bool
	}{
		{"no engine is listed", 0, false, 0, 20, false},
		{"no engine has responded yet", 4, false, 0, 20, false},
		{"no engine responds within StaleAfter", 4, false, defaultStaleAfter, 20, true},
		{"no engine is listed within StaleAfter", 0, false, defaultStaleAfter, 20, true},
		{"engines responded, none is large enough", 4, true, 0, 500, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cluster := newCluster(t, kinds[0], c.engines, 64*gigabyte)
			model := plannerModel()
			model.Weights = c.weights * gigabyte
			cluster.addModel(model)
			process := cluster.start("entry-1")
			step := func() {
				_ = process.lease.Step(t.Context())
				cluster.reportDemand(model.Name, 1, 1)
				if c.seen {
					process.pollEngines()
				}
				_ = process.decider.Step(t.Context())
			}
			for range 3 {
				step()
				cluster.fake.Step(time.Millisecond)
			}
			cluster.fake.Step(c.after)
			step()
			estimate := process.decider.Estimate(model.Name)
			if estimate.Known != c.known || (c.known && estimate.Obstacle != placement.NoUpstream) {
				t.Errorf("the estimate is %+v", estimate)
			}
		})
	}
}

// TestUnseenEnginesAreNamed covers the list of engines that have not responded.
func TestUnseenEnginesAreNamed(t *testing.T) {
	cluster := newCluster(t, kinds[0], 2, 64*gigabyte)
	cluster.addModel(plannerModel())
	process := cluster.start("entry-1")
	for range 2 {
		_ = process.lease.Step(t.Context())
		_ = process.decider.Step(t.Context())
	}
	if unseenEngines := process.decider.term.unseenEngines(); len(unseenEngines) != 2 || !slices.IsSorted(unseenEngines) {
		t.Errorf("unseen engines are %v", unseenEngines)
	}
	cluster.fake.Step(time.Millisecond)
	process.pollEngines()
	_ = process.decider.Step(t.Context())
	if unseenEngines := process.decider.term.unseenEngines(); len(unseenEngines) != 0 {
		t.Errorf("unseen engines are %v", unseenEngines)
	}
}
