package demand

import (
	"math"
	"testing"
	"time"
)

var start = time.Unix(1000, 0)

func TestRateFollowsArrivals(t *testing.T) {
	counter := New()
	now := start
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		counter.AddArrival(Key{Model: "m"}, 50, time.Second, now)
	}
	demands, _ := counter.Snapshot(now)
	if len(demands) != 1 || math.Abs(demands[0].Rate-10) > 1 || math.Abs(demands[0].Tokens-500) > 50 || demands[0].Target != time.Second {
		t.Errorf("demand is %+v, want 10 a second with 500 tokens", demands)
	}
	demands, _ = counter.Snapshot(now.Add(HalfLife))
	if math.Abs(demands[0].Rate-5) > 0.5 {
		t.Errorf("the rate is %v a half-life later", demands[0].Rate)
	}
	if demands, _ = counter.Snapshot(now.Add(2 * keyTTL)); len(demands) != 0 {
		t.Errorf("demand is %+v after it expired", demands)
	}
}

func TestWaitingAndRunning(t *testing.T) {
	counter := New()
	key := Key{Model: "m"}
	counter.AddWaiting(key, start)
	counter.AddWaiting(key, start.Add(time.Second))
	counter.RemoveWaiting(key, start)
	replicaKey := ReplicaKey{Key: key}
	counter.AddInFlight(replicaKey, 0)
	counter.AddInFlight(replicaKey, 2)
	counter.MarkFirstEvent(replicaKey, 0)
	counter.RemoveInFlight(replicaKey)
	demands, inFlight := counter.Snapshot(start.Add(time.Second))
	if demands[0].Waiting != 1 || !demands[0].Oldest.Equal(start.Add(time.Second)) || inFlight[replicaKey] != OneWaiting(2) {
		t.Errorf("demand %+v, in flight %+v", demands, inFlight)
	}
}

// TestUnknownTargetKeepsTheKnownOne covers requests of a route without a latency target beside others.
func TestUnknownTargetKeepsTheKnownOne(t *testing.T) {
	counter, now := New(), time.Unix(1000, 0)
	for _, target := range []time.Duration{2 * time.Second, 0, time.Second, 0} {
		counter.AddArrival(Key{Model: "m"}, 1, target, now)
	}
	if demands, _ := counter.Snapshot(now); demands[0].Target != time.Second {
		t.Errorf("the target is %v, want 1s", demands[0].Target)
	}
}

// TestOldestIsTheEarliestArrival covers a request that began to wait after one that arrived later.
func TestOldestIsTheEarliestArrival(t *testing.T) {
	counter, now := New(), time.Unix(1000, 0)
	for _, arrived := range []time.Time{now.Add(time.Second), now, now.Add(2 * time.Second)} {
		counter.AddWaiting(Key{Model: "m"}, arrived)
	}
	if demands, _ := counter.Snapshot(now); !demands[0].Oldest.Equal(now) {
		t.Errorf("the oldest arrived %v after the first", demands[0].Oldest.Sub(now))
	}
}

// TestRefusedAndRise covers requests that come ever more often, half of which are refused.
func TestRefusedAndRise(t *testing.T) {
	counter, now, key := New(), start, Key{Model: "m"}
	for arrival := range 120 {
		now = now.Add(time.Second / time.Duration(1+arrival/3))
		counter.AddArrival(key, 1, time.Second, now)
		if arrival%2 == 0 {
			counter.AddRefused(key, now)
		}
	}
	demands, _ := counter.Snapshot(now)
	if known := demands[0]; known.Rise < 1 || math.Abs(known.Refused/known.Rate-0.5) > 0.1 {
		t.Errorf("demand is %+v, want a rise and half of it refused", known)
	}
	demands, _ = counter.Snapshot(now.Add(3 * time.Second))
	if known := demands[0]; known.Rise > 0 {
		t.Errorf("demand is %+v 3 s after the last arrival, want a fall", known)
	}
}
