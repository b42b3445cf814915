package demand

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestRateFollowsArrivals(t *testing.T) {
	book := New()
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		book.Arrive(Key{Model: "m"}, 50, time.Second, now)
	}
	wants, _ := book.Report(now)
	if len(wants) != 1 || math.Abs(wants[0].Rate-10) > 1 || math.Abs(wants[0].Tokens-500) > 50 || wants[0].Target != time.Second {
		t.Errorf("wants are %+v, want 10 a second with 500 tokens", wants)
	}
	wants, _ = book.Report(now.Add(halfLife))
	if math.Abs(wants[0].Rate-5) > 0.5 {
		t.Errorf("the rate is %v a half-life later", wants[0].Rate)
	}
	if wants, _ = book.Report(now.Add(2 * forgetAfter)); len(wants) != 0 {
		t.Errorf("wants are %+v long after", wants)
	}
}

func TestWaitingAndRunning(t *testing.T) {
	book := New()
	key := Key{Model: "m"}
	book.Wait(key, start)
	book.Wait(key, start.Add(time.Second))
	book.Leave(key, start)
	place := Place{Key: key}
	book.Begin(place, 0)
	book.Begin(place, 2)
	book.Begun(place, 0)
	book.End(place)
	wants, running := book.Report(start.Add(time.Second))
	if wants[0].Waiting != 1 || !wants[0].Oldest.Equal(start.Add(time.Second)) || running[place] != One(2) {
		t.Errorf("wants %+v, running %+v", wants, running)
	}
}
