package decider

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/placement"
)

// TestNothingIsSaidOfEnginesThatAreNotSeen covers a daemon that decides before its engines answered it once: a request for
// a model that they can hold must not be refused as if none could.
func TestNothingIsSaidOfEnginesThatAreNotSeen(t *testing.T) {
	cases := []struct {
		name    string
		engines int
		// seen states that the engines answered, and after how long after the beginning it is looked.
		seen  bool
		after time.Duration
		// weights is the size of the model.
		weights int64
		known   bool
	}{
		{"no engine is listed", 0, false, 0, 20, false},
		{"no engine answered yet", 4, false, 0, 20, false},
		{"no engine answers at all", 4, false, defaultStaleAfter, 20, true},
		{"no engine is listed for long", 0, false, defaultStaleAfter, 20, true},
		{"engines answered, none is large enough", 4, true, 0, 500, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			world := newWorld(t, kinds[0], c.engines, 64*gigabyte)
			model := roundPlanner()
			model.Weights = c.weights * gigabyte
			world.addModel(model)
			process := world.start("entry-1")
			step := func() {
				_ = process.lease.Step(t.Context())
				world.ask(model.Name, 1, 1)
				if c.seen {
					process.look()
				}
				_ = process.decider.Step(t.Context())
			}
			for range 3 {
				step()
				world.fake.Step(time.Millisecond)
			}
			world.fake.Step(c.after)
			step()
			estimate := process.decider.Estimate(model.Name)
			if estimate.Known != c.known || (c.known && estimate.Obstacle != placement.NoUpstream) {
				t.Errorf("the estimate is %+v", estimate)
			}
		})
	}
}

// TestUnseenEnginesAreNamed covers what the log says of the engines that did not answer.
func TestUnseenEnginesAreNamed(t *testing.T) {
	world := newWorld(t, kinds[0], 2, 64*gigabyte)
	world.addModel(roundPlanner())
	process := world.start("entry-1")
	for range 2 {
		_ = process.lease.Step(t.Context())
		_ = process.decider.Step(t.Context())
	}
	if unseen := process.decider.reign.unseen(); len(unseen) != 2 || !slices.IsSorted(unseen) {
		t.Errorf("unseen are %v", unseen)
	}
	world.fake.Step(time.Millisecond)
	process.look()
	_ = process.decider.Step(t.Context())
	if unseen := process.decider.reign.unseen(); len(unseen) != 0 {
		t.Errorf("unseen are %v", unseen)
	}
}
