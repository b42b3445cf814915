package pace

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

var start = time.Unix(1000, 0)

const target = 300 * time.Millisecond

func incarnation(number int) topology.Incarnation {
	return topology.Incarnation{ID: fmt.Sprintf("r%d", number)}
}

// observe adds the observations of a second at a replica of the speed: gaps and starts with noise, at a random load, and late pauses.
func observe(estimator *Estimator, random *rand.Rand, number int, speed, late float64, now time.Time) {
	sums := Sums{Service: "s", Slots: 32}
	for range 5 {
		inFlight := random.IntN(32)
		gap := (40 + float64(inFlight)) / speed * math.Exp(0.3*random.NormFloat64())
		sums.AddGap(time.Duration(gap*float64(time.Millisecond)), inFlight)
		sums.AddStart(time.Duration(100/speed*math.Exp(0.4*random.NormFloat64())*float64(time.Millisecond)), 1000)
		sums.AddStream(target)
		sums.Good++
		if random.Float64() < late {
			sums.AddLatePause(target)
		}
	}
	estimator.Add(incarnation(number), &sums, 8, now)
}

// TestSpeedsAreFoundBeyondNoise guards against speeds that differ only by noise, and against replicas of different speed or pauses that
// are taken for the same. The observations must be forgotten without new ones.
func TestSpeedsAreFoundBeyondNoise(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	even, uneven := NewEstimator(), NewEstimator()
	speeds := []float64{0.6, 1, 1.6, 1, 0.6, 1, 1.6, 1}
	now := start
	for range 20 {
		now = now.Add(time.Second)
		for number, speed := range speeds {
			late := 0.0
			if number == 0 {
				late = 0.8
			}
			observe(even, random, number, 1, 0.2, now)
			observe(uneven, random, number, speed, late, now)
		}
	}
	for incarnation, value := range even.Values(now) {
		if !value.IsZero() {
			t.Errorf("%v of one speed has the value %+v", incarnation, value)
		}
	}
	for number, speed := range speeds {
		if got := uneven.Values(now)[incarnation(number)].RelativeSpeed(); math.Abs(math.Log(got/speed)) > 0.3 {
			t.Errorf("the speed of a replica of speed %.1f is %.2f", speed, got)
		}
	}
	if late, other := uneven.Values(now)[incarnation(0)].LateChance(target), uneven.Values(now)[incarnation(1)].LateChance(target); late < 0.4 || other > 0 {
		t.Errorf("the chances of late pauses exceed the mean by %.2f and %.2f", late, other)
	}
	if values := uneven.Values(now.Add(time.Minute)); len(values) > 0 || len(uneven.services) > 0 {
		t.Errorf("a minute later, there are still %+v", values)
	}
}

// TestAnnouncedValuesAge guards against decisions by announcements of a holder that is gone.
func TestAnnouncedValuesAge(t *testing.T) {
	announced := Value{Speed: 1.6, Window: 3, Cause: Cold, Chances: [MaxTargets]Chance{{Target: target, Late: 0.4}}}
	if got := Blend(announced, Value{}, 0); got != announced {
		t.Errorf("a new announcement counts as %+v", got)
	}
	half := Blend(announced, Value{}, maxAge/2)
	if math.Abs(half.Speed*half.Speed-1.6) > 1e-9 || math.Abs(half.LateChance(target)-0.2) > 1e-9 {
		t.Errorf("an older one counts as %+v", half)
	}
	own := Value{Speed: 0.7}
	if got := Blend(announced, own, maxAge); got != own {
		t.Errorf("an old one counts as %+v", got)
	}
}

// outcomes adds requests that came to an end at the replica.
func outcomes(estimator *Estimator, good, failed float64, now time.Time) float64 {
	estimator.Add(incarnation(0), &Sums{Service: "s", Slots: 16, Good: good, Failed: failed}, 8, now)
	return estimator.Values(now)[incarnation(0)].Window
}

// TestWindowFollowsResults guards against replicas that start or fail being flooded, and against those that recovered being left idle.
func TestWindowFollowsResults(t *testing.T) {
	estimator, now := NewEstimator(), start
	if window := outcomes(estimator, 20, 2, now); window != 0 {
		t.Errorf("a sound replica has the window %v", window)
	}
	now = now.Add(time.Second)
	if window := outcomes(estimator, 0, 20, now); window != 4 {
		t.Errorf("after failures the window is %v, want half of the requests in flight", window)
	}
	if window := outcomes(estimator, 0, 20, now); window != 4 {
		t.Errorf("failures of requests sent before the decrease shrink the window to %v", window)
	}
	for range 4 {
		now = now.Add(shrinkInterval)
		outcomes(estimator, 0, 3, now)
	}
	if window := outcomes(estimator, 0, 0, now); window != minWindow {
		t.Errorf("after many failures the window is %v", window)
	}
	now = now.Add(time.Second)
	if window := outcomes(estimator, 2, 0, now); window <= minWindow {
		t.Errorf("after good starts the window is %v", window)
	}
	for range 8 {
		now = now.Add(time.Second)
		estimator.Values(now)
	}
	if window := estimator.Values(now)[incarnation(0)].Window; window != 0 {
		t.Errorf("after 8 s without failures the window is %v", window)
	}
	if changes := estimator.Changes(); len(changes) < 3 || changes[0].Cause != Failing || changes[len(changes)-1].Window != 0 {
		t.Errorf("the changes are %+v", changes)
	}
}

// TestStartsBeginWindows guards against replicas that are flooded after their start, and against all replicas counting as new when a
// daemon reads the table first.
func TestStartsBeginWindows(t *testing.T) {
	estimator := NewEstimator()
	replica := func(number int, cold time.Duration) topology.Replica {
		return topology.Replica{Incarnation: incarnation(number), Service: "s", Slots: 16, ReceivedAt: start, ColdRemaining: cold}
	}
	var starts Starts
	starts.Observe(estimator, nil, start)
	starts.Observe(estimator, []topology.Replica{replica(0, 0), replica(1, time.Second), replica(3, 0)}, start)
	starts.Observe(estimator, []topology.Replica{replica(0, 0), replica(1, 0), replica(2, 0)}, start)
	if len(starts.known) != 3 {
		t.Errorf("%d replicas are known", len(starts.known))
	}
	values := estimator.Values(start)
	for number, cause := range []Cause{None, Cold, New} {
		if value := values[incarnation(number)]; value.Cause != cause || (cause != None) != (value.Window == 4) {
			t.Errorf("replica %d has the value %+v", number, value)
		}
	}
	if values := estimator.Values(start.Add(windowExpiry + time.Second)); len(values) > 0 {
		t.Errorf("windows without requests last: %+v", values)
	}
}

// TestSumsOfOtherDaemons guards against infinite sums, and against more targets than entries.
func TestSumsOfOtherDaemons(t *testing.T) {
	estimator := NewEstimator()
	estimator.Add(incarnation(0), &Sums{Service: "s", Gaps: Regression{Count: 5, X: math.Inf(1)}}, 0, start)
	if len(estimator.services) > 0 {
		t.Error("infinite sums are added")
	}
	sums := Sums{}
	for number := range 2 * MaxTargets {
		sums.AddStream(time.Duration(1+number) * target)
	}
	if sums.Pauses[MaxTargets-1].Streams != MaxTargets+1 {
		t.Errorf("the streams are %+v", sums.Pauses)
	}
}
