package notice

import (
	"strings"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

var (
	start       = time.Unix(1000, 0)
	incarnation = topology.Incarnation{ID: "a", Started: 1}
	next        = topology.Incarnation{ID: "a", Started: 2}
)

func TestLeavingAppliesToOneIncarnation(t *testing.T) {
	registry := New()
	if !registry.MarkLeaving(incarnation, start) || registry.MarkLeaving(incarnation, start) {
		t.Error("MarkLeaving does not report true exactly once")
	}
	if registry.Accepts(incarnation, start.Add(time.Hour)) || !registry.Accepts(next, start) {
		t.Error("the notice expires or applies to another incarnation")
	}
	registry.Prune(map[topology.Incarnation]bool{incarnation: true}, start.Add(time.Hour), start.Add(time.Hour))
	if !registry.Leaving(incarnation) {
		t.Error("a live incarnation that leaves was dropped")
	}
	registry.Prune(nil, start.Add(-time.Second), start)
	if !registry.Leaving(incarnation) {
		t.Error("an incarnation that was recorded recently was dropped")
	}
	registry.Prune(nil, start.Add(time.Second), start)
	if registry.Leaving(incarnation) {
		t.Error("an incarnation that is long gone was kept")
	}
}

// TestLeavingAppliesToEarlierIncarnations guards against issue 49: a store that came back from an older copy named an earlier incarnation
// of a replica that leaves, at the same address, and requests were sent to it.
func TestLeavingAppliesToEarlierIncarnations(t *testing.T) {
	registry := New()
	registry.MarkLeaving(next, start)
	if registry.Accepts(incarnation, start) || !registry.Leaving(incarnation) {
		t.Error("an earlier incarnation accepts requests")
	}
	if later := (topology.Incarnation{ID: "a", Started: 3}); !registry.Accepts(later, start) {
		t.Error("a later incarnation accepts no requests")
	}
	if other := (topology.Incarnation{ID: "b", Started: 1}); !registry.Accepts(other, start) {
		t.Error("another replica accepts no requests")
	}
	registry.Prune(nil, start.Add(time.Second), start)
	if !registry.Accepts(incarnation, start) {
		t.Error("the notice of an incarnation that is long gone was kept")
	}
}

func TestBackoff(t *testing.T) {
	cases := []struct {
		name    string
		backoff time.Duration
		at      time.Duration
		want    bool
	}{
		{"during it", 2 * time.Second, time.Second, true},
		{"at its end", 2 * time.Second, 2 * time.Second, false},
		{"none", 0, 0, false},
		{"in the past", -time.Second, 0, false},
		{"longer than the bound", 10 * MaxBackoff, MaxBackoff - 1, true},
		{"after the bound", 10 * MaxBackoff, MaxBackoff, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			registry := New()
			registry.SetBackoff(incarnation, start.Add(c.backoff), start)
			if _, inBackoff := registry.BackoffUntil(incarnation, start.Add(c.at)); inBackoff != c.want || registry.Accepts(incarnation, start.Add(c.at)) == c.want {
				t.Errorf("in backoff is %v", inBackoff)
			}
			if !registry.Accepts(next, start) {
				t.Error("the next incarnation is in backoff too")
			}
		})
	}
}

func TestShorterBackoffIsIgnored(t *testing.T) {
	registry := New()
	registry.SetBackoff(incarnation, start.Add(10*time.Second), start)
	if registry.SetBackoff(incarnation, start.Add(time.Second), start) {
		t.Error("a shorter backoff is reported as longer")
	}
	if until, _ := registry.BackoffUntil(incarnation, start); !until.Equal(start.Add(10 * time.Second)) {
		t.Errorf("in backoff until %v", until)
	}
}

func TestUnknownHeadersAreBounded(t *testing.T) {
	registry := New()
	marked := 0
	for index := range 2 * maxUnknown {
		for range 2 {
			if registry.MarkUnknown(strings.Repeat("x", index)) {
				marked++
			}
		}
	}
	if marked != maxUnknown {
		t.Errorf("%d unknown headers are marked as first", marked)
	}
}

func TestRegistryIsBounded(t *testing.T) {
	registry := New()
	for born := range int64(maxIncarnations + 10) {
		other := topology.Incarnation{ID: "b", Started: born}
		registry.MarkLeaving(other, start.Add(time.Duration(born)))
		registry.SetBackoff(other, start.Add(time.Hour-time.Duration(maxIncarnations+10-born)), start)
		registry.MarkMalformed(other, "Retry-After")
	}
	if leaving, inBackoff := registry.Counts(start); leaving != maxIncarnations || inBackoff != maxIncarnations || len(registry.malformed) > maxIncarnations {
		t.Errorf("%d leaving, %d in backoff, %d malformed", leaving, inBackoff, len(registry.malformed))
	}
	if latest := registry.LatestLeaving(1); latest[0].Started != maxIncarnations+9 {
		t.Errorf("the latest leaving incarnation is %+v", latest)
	}
}
