package ratelimit

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

var (
	start   = time.Unix(1000, 0)
	replica = topology.Incarnation{ID: "a", Started: 1}
)

// at returns the time some milliseconds after the start.
func at(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

func named(perSecond float64, sent, received int) Observation {
	return Observation{Named: true, PerSecond: perSecond, Sent: at(sent), Received: at(received)}
}

func none(sent, received int) Observation {
	return Observation{Conclusive: true, Sent: at(sent), Received: at(received)}
}

func TestLimitFollowsResponses(t *testing.T) {
	cases := []struct {
		name         string
		observations []Observation
		want         float64
	}{
		{"first", []Observation{named(2, 0, 10)}, 2},
		{"none", []Observation{none(0, 10)}, 0},
		{"raised", []Observation{named(2, 0, 10), named(5, 11, 20)}, 5},
		{"lowered", []Observation{named(2, 0, 10), named(1, 11, 20)}, 1},
		{"ended", []Observation{named(2, 0, 10), none(11, 20)}, 0},
		{"named again", []Observation{named(2, 0, 10), none(11, 20), named(3, 21, 30)}, 3},
		{"older response names more", []Observation{named(2, 0, 10), named(5, 1, 11)}, 2},
		{"older response names less", []Observation{named(2, 0, 10), named(1, 1, 11)}, 1},
		{"older response names none", []Observation{named(2, 0, 10), none(1, 11)}, 2},
		{"raised while requests overlap", []Observation{named(2, 0, 10), named(2, 9, 30), named(5, 11, 40)}, 5},
		{"inconclusive", []Observation{named(2, 0, 10), {Sent: at(20), Received: at(30)}}, 2},
		{"finer than daemons tell", []Observation{named(1.00001, 0, 10)}, 1},
		{"zero", []Observation{named(0, 0, 10)}, minPerSecond},
		{"huge", []Observation{named(1e308, 0, 10)}, maxPerSecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			for _, observed := range c.observations {
				table.Observe(replica, observed)
			}
			if got, limited := table.Limit(replica); got != c.want || limited != (c.want > 0) {
				t.Errorf("the limit is %v, want %v", got, c.want)
			}
			if _, limited := table.Limit(topology.Incarnation{ID: "a", Started: 2}); limited {
				t.Error("the next incarnation has a limit")
			}
		})
	}
}

func TestMerge(t *testing.T) {
	cases := []struct {
		name      string
		perSecond float64
		confirmed time.Time
		want      float64
	}{
		{"lower and later", 1, at(20), 1},
		{"lower and earlier", 1, at(5), 2},
		{"higher and later", 5, at(10 + 1001), 5},
		{"higher, perhaps earlier", 5, at(500), 2},
		{"ended later", 0, at(10 + 1001), 0},
		{"ended, perhaps earlier", 0, at(500), 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := NewTable()
			table.Observe(replica, named(2, 0, 10))
			table.Merge(Entry{replica, Limit{PerSecond: c.perSecond, Confirmed: c.confirmed}}, at(2000))
			if got, _ := table.Limit(replica); got != c.want {
				t.Errorf("the limit is %v, want %v", got, c.want)
			}
		})
	}
}

func TestReportsAreBounded(t *testing.T) {
	table := NewTable()
	reports := 0
	for index := range 1000 {
		if _, changed := table.Observe(replica, named(float64(1+index%2), 20*index, 20*index+10)); changed {
			reports++
		}
	}
	if want := 1 + int(20*time.Second/reportInterval); reports < 2 || reports > want {
		t.Errorf("%d changes were reported in 20 s, want at most %d", reports, want)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for born := range int64(maxIncarnations + 10) {
		table.Observe(topology.Incarnation{ID: "b", Started: born}, named(1, int(born), int(born)))
	}
	if count := len(table.All()); count != maxIncarnations {
		t.Errorf("%d entries", count)
	}
	if _, known := table.Limit(topology.Incarnation{ID: "b", Started: 1}); known {
		t.Error("the oldest entry was kept")
	}
	table.Prune(nil, at(maxIncarnations+10), at(maxIncarnations+10))
	if count := len(table.All()); count != 0 {
		t.Errorf("%d entries of incarnations that are not live", count)
	}
}

func TestShare(t *testing.T) {
	table := NewTable()
	for born := range int64(10) {
		table.Observe(topology.Incarnation{ID: "b", Started: born}, named(1, 0, 10))
	}
	if shared := table.Share(3, at(20)); len(shared) != 10 {
		t.Errorf("%d of 10 new limits are shared", len(shared))
	}
	later := at(20).Add(spreadTime)
	seen := map[topology.Incarnation]bool{}
	for range 4 {
		for _, entry := range table.Share(3, later) {
			seen[entry.Incarnation] = true
		}
	}
	if len(seen) != 10 {
		t.Errorf("%d of 10 steady limits are shared in turn", len(seen))
	}
}
