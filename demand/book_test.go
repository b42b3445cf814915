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
		book.AddArrival(Key{Model: "m"}, 50, time.Second, now)
	}
	wants, _ := book.Snapshot(now)
	if len(wants) != 1 || math.Abs(wants[0].Rate-10) > 1 || math.Abs(wants[0].Tokens-500) > 50 || wants[0].Target != time.Second {
		t.Errorf("wants are %+v, want 10 a second with 500 tokens", wants)
	}
	wants, _ = book.Snapshot(now.Add(halfLife))
	if math.Abs(wants[0].Rate-5) > 0.5 {
		t.Errorf("the rate is %v a half-life later", wants[0].Rate)
	}
	if wants, _ = book.Snapshot(now.Add(2 * forgetAfter)); len(wants) != 0 {
		t.Errorf("wants are %+v long after", wants)
	}
}

func TestWaitingAndRunning(t *testing.T) {
	book := New()
	key := Key{Model: "m"}
	book.AddWaiting(key, start)
	book.AddWaiting(key, start.Add(time.Second))
	book.RemoveWaiting(key, start)
	place := ReplicaKey{Key: key}
	book.AddInFlight(place, 0)
	book.AddInFlight(place, 2)
	book.MarkFirstEvent(place, 0)
	book.RemoveInFlight(place)
	wants, running := book.Snapshot(start.Add(time.Second))
	if wants[0].Waiting != 1 || !wants[0].Oldest.Equal(start.Add(time.Second)) || running[place] != OneWaiting(2) {
		t.Errorf("wants %+v, running %+v", wants, running)
	}
}
