package relay

import (
	"slices"
	"testing"
	"time"

	testclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/topology"
)

// TestSilentReplicas checks which replicas count as silent while attempts begin, yield events and end.
func TestSilentReplicas(t *testing.T) {
	const limit = 500 * time.Millisecond
	a, b := topology.Incarnation{ID: "a"}, topology.Incarnation{ID: "b"}
	clk := testclock.NewFakeClock(time.Unix(0, 0))
	activity := newActivity(clk)
	check := func(when string, want ...topology.Incarnation) {
		t.Helper()
		got := activity.silent(limit)
		slices.SortFunc(got, func(x, y topology.Incarnation) int { return len(x.ID) - len(y.ID) })
		if len(got) != len(want) || (len(want) == 1 && got[0] != want[0]) {
			t.Errorf("%s: %v are silent, want %v", when, got, want)
		}
	}
	check("before any attempt")
	first, second := activity.begin(a), activity.begin(a)
	other := activity.begin(b)
	clk.Step(limit)
	check("at the limit")
	clk.Step(time.Millisecond)
	check("beyond the limit", a, b)
	activity.event(second)
	check("after an event of one attempt at a", b)
	third := activity.begin(b)
	check("after the start of another attempt at b", b)
	activity.end(b, third)
	clk.Step(2 * limit)
	activity.end(a, first)
	check("after the end of one attempt at a", a, b)
	activity.end(b, other)
	check("after the end of the attempt at b", a)
	activity.end(a, second)
	check("after all attempts")
}
