package scheduler

import (
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/pace"
	"github.com/bronzestall/bronzestall/topology"
)

// TestPacesOfAllDaemonsAreMerged guards against speeds that no daemon alone has enough observations for.
func TestPacesOfAllDaemonsAreMerged(t *testing.T) {
	aggregator, now := newAggregator(), epoch
	fast, slow := topology.Incarnation{ID: "fast"}, topology.Incarnation{ID: "slow"}
	for daemon := range 8 {
		now = now.Add(100 * time.Millisecond)
		report := mesh.Report{Name: string(rune('a' + daemon)), Paces: map[topology.Incarnation]pace.Sums{}}
		for replica, gap := range map[topology.Incarnation]time.Duration{fast: 40 * time.Millisecond, slow: 80 * time.Millisecond} {
			sums := pace.Sums{Service: "s", Slots: 4}
			sums.AddGap(gap, daemon%4)
			sums.AddGap(gap, daemon%4)
			report.Paces[replica] = sums
		}
		aggregator.add(report, now)
	}
	now = now.Add(time.Second)
	if high, low := aggregator.speed(fast, now), aggregator.speed(slow, now); high < 1.3 || low > 0.8 {
		t.Errorf("the speeds are %.2f and %.2f, want about 1.41 and 0.71", high, low)
	}
	if other := aggregator.speed(topology.Incarnation{ID: "other"}, now); other != 1 {
		t.Errorf("the speed of a replica without observations is %.2f", other)
	}
}

// TestHolderAnnouncesStarts guards against replicas whose slow start no daemon learns of, and against windows that a new holder takes
// for news although its predecessor saw what came of them.
func TestHolderAnnouncesStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		scheduler := New(Settings{}, Deps{Clock: clock.RealClock{}})
		old, added := topology.Replica{Incarnation: topology.Incarnation{ID: "e0"}, Slots: 8}, topology.Replica{Incarnation: topology.Incarnation{ID: "e1"}, Slots: 8}
		scheduler.Update(nil, []topology.Replica{old})
		scheduler.Update(nil, []topology.Replica{old, added})
		poll := longPoll{report: mesh.Report{Name: "a", InFlight: mesh.InFlightCounts{{Incarnation: old.Incarnation}: demand.InFlight{Running: 1}}}}
		announced, _, _ := scheduler.nextAnnouncement(&poll)
		if len(announced.Paces) != 1 || announced.Paces[added.Incarnation].Cause != pace.New {
			t.Errorf("the paces are %+v", announced.Paces)
		}
		time.Sleep(2 * startRetention)
		scheduler.aggregator.paces.EndWindows(time.Now().Add(-startRetention))
		if announced, _, _ = scheduler.nextAnnouncement(&poll); len(announced.Paces) > 0 {
			t.Errorf("a new holder announces %+v", announced.Paces)
		}
	})
}
