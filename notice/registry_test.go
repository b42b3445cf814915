package notice

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

var (
	start = time.Unix(1000, 0)
	run   = topology.Incarnation{ID: "a", Born: 1}
	next  = topology.Incarnation{ID: "a", Born: 2}
)

func TestLeavingHoldsForOneRun(t *testing.T) {
	book := New()
	if !book.MarkLeaving(run, start) || book.MarkLeaving(run, start) {
		t.Error("the word is new once")
	}
	if book.Accepts(run, start.Add(time.Hour)) || !book.Accepts(next, start) {
		t.Error("the word holds for another time or run")
	}
	book.Prune(map[topology.Incarnation]bool{run: true}, start.Add(time.Hour), start.Add(time.Hour))
	if !book.Leaving(run) {
		t.Error("a live run that leaves is forgotten")
	}
	book.Prune(nil, start.Add(-time.Second), start)
	if !book.Leaving(run) {
		t.Error("a run whose row just went is forgotten")
	}
	book.Prune(nil, start.Add(time.Second), start)
	if book.Leaving(run) {
		t.Error("a run that is gone for long is kept")
	}
}

func TestRests(t *testing.T) {
	cases := []struct {
		name string
		rest time.Duration
		at   time.Duration
		want bool
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
			book := New()
			book.SetBackoff(run, start.Add(c.rest), start)
			if _, resting := book.BackoffUntil(run, start.Add(c.at)); resting != c.want || book.Accepts(run, start.Add(c.at)) == c.want {
				t.Errorf("resting is %v", resting)
			}
			if !book.Accepts(next, start) {
				t.Error("the next run rests too")
			}
		})
	}
}

func TestShorterRestEndsNoLongerOne(t *testing.T) {
	book := New()
	book.SetBackoff(run, start.Add(10*time.Second), start)
	if book.SetBackoff(run, start.Add(time.Second), start) {
		t.Error("a shorter rest is news")
	}
	if until, _ := book.BackoffUntil(run, start); !until.Equal(start.Add(10 * time.Second)) {
		t.Errorf("rests until %v", until)
	}
}

func TestBookIsBounded(t *testing.T) {
	book := New()
	for born := range int64(mostRuns + 10) {
		other := topology.Incarnation{ID: "b", Born: born}
		book.MarkLeaving(other, start.Add(time.Duration(born)))
		book.SetBackoff(other, start.Add(time.Hour-time.Duration(mostRuns+10-born)), start)
		book.MarkMalformed(other)
	}
	if leaving, resting := book.Counts(start); leaving != mostRuns || resting != mostRuns || len(book.odd) > mostRuns {
		t.Errorf("%d leave, %d rest, %d are odd", leaving, resting, len(book.odd))
	}
	if latest := book.LatestLeaving(1); latest[0].Born != mostRuns+9 {
		t.Errorf("the latest is %+v", latest)
	}
}
