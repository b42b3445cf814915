package reach

import (
	"math"
	"time"
)

const (
	// minHold is for how long a path that fell once must be proved, with no doubt between, until it counts as sound. Each further fall
	// doubles the time, up to maxHold.
	minHold = 3 * time.Second
	maxHold = 30 * time.Second
	// fallHalfLife is the time in which the number of falls that count is halved.
	fallHalfLife = 30 * time.Second
)

// damping is what is known of the falls of a path, or of all paths of a daemon together. A path falls when it swallows attempts that its
// replica would have answered. The zero value stands for none.
type damping struct {
	// falls is the number of falls at the time of the last one, those before it with less weight; fell is that time.
	falls float64
	fell  time.Time
	// doubted is when the path fell or was suspected last, and hold for how long it is unsteady from then on.
	doubted time.Time
	hold    time.Duration
}

// withFall returns the damping after another fall.
func (damping damping) withFall(now time.Time) damping {
	damping.falls = 1 + damping.falls*math.Exp2(-float64(now.Sub(damping.fell))/float64(fallHalfLife))
	damping.fell, damping.doubted = now, now
	damping.hold = time.Duration(min(float64(minHold)*math.Exp2(damping.falls-1), float64(maxHold)))
	return damping
}

// withDoubt returns the damping after the path was suspected. The time in which it must be proved begins again if it has not passed.
func (damping damping) withDoubt(now time.Time) damping {
	if damping.isUnsteady(now) {
		damping.doubted = now
	}
	return damping
}

// isUnsteady reports whether the path fell and has not been proved for long enough since.
func (damping damping) isUnsteady(now time.Time) bool {
	return now.Sub(damping.doubted) < damping.hold
}
