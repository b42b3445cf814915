package notice

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

var (
	start = time.Unix(1000, 0)
	run   = topology.Incarnation{ID: "a", Started: 1}
	next  = topology.Incarnation{ID: "a", Started: 2}
)

func TestLeavingHoldsForOneRun(t *testing.T) {
	book := New()
	if !book.Leave(run, start) || book.Leave(run, start) {
		t.Error("the word is new once")
	}
	if book.Takes(run, start.Add(time.Hour)) || !book.Takes(next, start) {
		t.Error("the word holds for another time or run")
	}
	book.Forget(map[topology.Incarnation]bool{run: true}, start.Add(time.Hour), start.Add(time.Hour))
	if !book.Leaving(run) {
		t.Error("a live run that leaves is forgotten")
	}
	book.Forget(nil, start.Add(-time.Second), start)
	if !book.Leaving(run) {
		t.Error("a run whose row just went is forgotten")
	}
	book.Forget(nil, start.Add(time.Second), start)
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
		{"longer than the bound", 10 * LongestRest, LongestRest - 1, true},
		{"after the bound", 10 * LongestRest, LongestRest, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			book := New()
			book.Rest(run, start.Add(c.rest), start)
			if _, resting := book.Resting(run, start.Add(c.at)); resting != c.want || book.Takes(run, start.Add(c.at)) == c.want {
				t.Errorf("resting is %v", resting)
			}
			if !book.Takes(next, start) {
				t.Error("the next run rests too")
			}
		})
	}
}

func TestShorterRestEndsNoLongerOne(t *testing.T) {
	book := New()
	book.Rest(run, start.Add(10*time.Second), start)
	if book.Rest(run, start.Add(time.Second), start) {
		t.Error("a shorter rest is news")
	}
	if until, _ := book.Resting(run, start); !until.Equal(start.Add(10 * time.Second)) {
		t.Errorf("rests until %v", until)
	}
}

func TestBookIsBounded(t *testing.T) {
	book := New()
	for born := range int64(mostRuns + 10) {
		other := topology.Incarnation{ID: "b", Started: born}
		book.Leave(other, start.Add(time.Duration(born)))
		book.Rest(other, start.Add(time.Hour-time.Duration(mostRuns+10-born)), start)
		book.Odd(other)
	}
	if leaving, resting := book.Counts(start); leaving != mostRuns || resting != mostRuns || len(book.odd) > mostRuns {
		t.Errorf("%d leave, %d rest, %d are odd", leaving, resting, len(book.odd))
	}
	if latest := book.Latest(1); latest[0].Started != mostRuns+9 {
		t.Errorf("the latest is %+v", latest)
	}
}
