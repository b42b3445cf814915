package rollout

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// counts is the number of replicas of the releases v1, v2 and v3 of a service.
type counts [3]int

// observed returns a tracker that observed one of the counts every second, and the time of the last observation.
func observed(course []counts) (*Tracker, time.Time) {
	tracker, now := New(), time.Unix(1000, 0)
	for index, step := range course {
		if index > 0 {
			now = now.Add(time.Second)
		}
		var replicas []topology.Replica
		for release, count := range step {
			for number := range count {
				replicas = append(replicas, topology.Replica{
					Incarnation: topology.Incarnation{ID: fmt.Sprint(release, "-", number)}, Service: "s", Release: fmt.Sprint("v", release+1),
				})
			}
		}
		tracker.Observe(replicas, now)
	}
	return tracker, now
}

// TestEnds guards against issue 43: nothing told which release was about to have no replica.
func TestEnds(t *testing.T) {
	cases := []struct {
		name   string
		course []counts
		// after is the time since the last observation.
		after time.Duration
		// want maps the releases that leave to the time until their expected end.
		want map[string]time.Duration
	}{
		{"nothing observed", nil, 0, nil},
		{"one release", []counts{{3, 0, 0}, {2, 0, 0}, {1, 0, 0}}, 0, nil},
		{"two releases stay", []counts{{3, 2, 0}, {3, 2, 0}}, 0, nil},
		{"a newer one joins", []counts{{3, 0, 0}, {3, 1, 0}}, 0, nil},
		{"a replica has left just now", []counts{{3, 0, 0}, {3, 1, 0}, {2, 1, 0}}, 0, map[string]time.Duration{"v1": 0}},
		{"and nothing since", []counts{{3, 0, 0}, {3, 1, 0}, {2, 1, 0}}, 10 * time.Second, map[string]time.Duration{"v1": 20 * time.Second}},
		{"one leaves every second", []counts{{5, 0, 0}, {5, 1, 0}, {4, 1, 0}, {3, 2, 0}}, time.Second, map[string]time.Duration{"v1": 3 * time.Second}},
		{"replaced in one step", []counts{{3, 0, 0}, {2, 1, 0}}, time.Second, map[string]time.Duration{"v1": 2 * time.Second}},
		{"long ago", []counts{{3, 0, 0}, {3, 1, 0}, {2, 1, 0}}, Window, nil},
		{"it has left", []counts{{1, 0, 0}, {1, 1, 0}, {0, 1, 0}}, time.Second, map[string]time.Duration{"v1": 0}},
		{"it has left long ago", []counts{{1, 0, 0}, {1, 1, 0}, {0, 1, 0}}, Window, nil},
		{"only the newer one is left when it shrinks", []counts{{1, 0, 0}, {1, 2, 0}, {0, 2, 0}, {0, 1, 0}}, 0, nil},
		{"the older one comes back", []counts{{3, 0, 0}, {3, 1, 0}, {2, 1, 0}, {2, 2, 0}, {3, 1, 0}}, time.Second, map[string]time.Duration{"v2": time.Second}},
		{"the older one crashes and starts again", []counts{{3, 0, 0}, {3, 1, 0}, {2, 1, 0}, {3, 1, 0}}, 0, nil},
		{"the newer one crashes", []counts{{3, 0, 0}, {3, 2, 0}, {3, 1, 0}}, 0, nil},
		{"both shrink, none grew", []counts{{3, 3, 0}, {2, 2, 0}}, 0, nil},
		{"a third one takes the place of both", []counts{{2, 2, 0}, {2, 2, 1}, {1, 2, 1}, {1, 1, 1}}, time.Second, map[string]time.Duration{"v1": 2 * time.Second, "v2": time.Second}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			tracker, now := observed(c.course)
			now = now.Add(c.after)
			got := map[string]time.Duration{}
			for _, end := range tracker.Ends("s", now) {
				got[end.Release] = end.At.Sub(now)
			}
			if fmt.Sprint(got) != fmt.Sprint(c.want) {
				t.Errorf("releases end in %v, want %v", got, c.want)
			}
		})
	}
}

// TestForgottenReleases checks that releases without replicas are dropped, so that memory is bounded by what serves or did lately.
func TestForgottenReleases(t *testing.T) {
	tracker, now := observed([]counts{{2, 0, 0}, {2, 2, 0}, {0, 2, 0}})
	for _, want := range []int{2, 1} {
		if got := len(tracker.Accepting()["s"]); got != want {
			t.Errorf("%d releases are held, want %d", got, want)
		}
		now = now.Add(Window)
		tracker.Observe(slices.Repeat([]topology.Replica{{Service: "s", Release: "v2"}}, 2), now)
	}
}

// BenchmarkEnds measures what a request pays.
func BenchmarkEnds(b *testing.B) {
	for name, course := range map[string][]counts{"one release": {{600, 0, 0}}, "rollout": {{600, 0, 0}, {300, 300, 0}}} {
		b.Run(name, func(b *testing.B) {
			tracker, now := observed(course)
			for b.Loop() {
				tracker.Ends("s", now)
			}
		})
	}
}

// TestShifts covers what the log tells of a rollout.
func TestShifts(t *testing.T) {
	tracker, now := observed([]counts{{2, 0, 0}})
	of := func(older, newer int) []topology.Replica {
		return append(slices.Repeat([]topology.Replica{{Service: "s", Release: "v1"}}, older), slices.Repeat([]topology.Replica{{Service: "s", Release: "v2"}}, newer)...)
	}
	for _, c := range []struct {
		older, newer int
		want         []Shift
	}{
		{2, 0, nil},
		{1, 0, nil},
		{2, 0, nil},
		{2, 1, []Shift{{"s", "v2", 0, 1, false}}},
		{1, 1, []Shift{{"s", "v1", 2, 1, true}}},
		{1, 1, nil},
		{0, 2, []Shift{{"s", "v1", 1, 0, true}, {"s", "v2", 1, 2, false}}},
		{0, 2, nil},
	} {
		got := tracker.Observe(of(c.older, c.newer), now)
		slices.SortFunc(got, func(a, b Shift) int { return cmp.Compare(a.Release, b.Release) })
		if !slices.Equal(got, c.want) {
			t.Errorf("%d and %d replicas: %+v, want %+v", c.older, c.newer, got, c.want)
		}
	}
}

// TestReplicasWithoutAReleaseAreNoRelease covers replicas that name none: streams of one can go on at no other, so that they take the
// place of no release, and many of them cost no more than one.
func TestReplicasWithoutAReleaseAreNoRelease(t *testing.T) {
	tracker, now := New(), time.Unix(1000, 0)
	for _, c := range []struct{ named, unnamed int }{{3, 1}, {3, 600}, {2, 400}, {1, 600}} {
		replicas := slices.Repeat([]topology.Replica{{Service: "s", Release: "v1"}}, c.named)
		for number := range c.unnamed {
			incarnation := topology.Incarnation{ID: fmt.Sprint(number)}
			replicas = append(replicas, topology.Replica{Incarnation: incarnation, Service: "s", Release: topology.UnnamedRelease(incarnation)})
		}
		now = now.Add(time.Second)
		tracker.Observe(replicas, now)
		if ends := tracker.Ends("s", now); len(ends) > 0 {
			t.Errorf("%d and %d replicas: the releases %v leave", c.named, c.unnamed, ends)
		}
		if held := len(tracker.Accepting()["s"]); held != 2 {
			t.Errorf("%d releases are held, want 2", held)
		}
	}
}
