package decay

import (
	"math"
	"testing"
	"time"
)

// TestWeight guards against weights above one for observations that a clock places in the future, and against a wrong half-life.
func TestWeight(t *testing.T) {
	for _, test := range []struct {
		age  time.Duration
		want float64
	}{
		{-time.Hour, 1}, {0, 1}, {2 * time.Second, 0.5}, {6 * time.Second, 0.125}, {math.MaxInt64, 0},
	} {
		if weight := Weight(test.age, 2*time.Second); weight != test.want {
			t.Errorf("the weight at the age %v is %v, want %v", test.age, weight, test.want)
		}
	}
}

// TestRate guards against a rate that is not that of the events: a steady one must be found again in its decayed sum.
func TestRate(t *testing.T) {
	const perSecond, halfLife, interval = 200.0, time.Second, 5 * time.Millisecond
	sum := 0.0
	for range int(20 * time.Second / interval) {
		sum = sum*Weight(interval, halfLife) + 1
	}
	for age, want := range map[time.Duration]float64{0: perSecond, 2 * halfLife: perSecond / 4} {
		if rate := Rate(sum, age, halfLife); math.Abs(rate/want-1) > 0.01 {
			t.Errorf("%v events per second after %v, want %v", rate, age, want)
		}
	}
}
