package pace

import (
	"math"
	"time"
)

// Chance is by how much the chance that a stream has a pause longer than the target differs from that at all replicas of the service.
type Chance struct {
	Target time.Duration
	// Late is from -1 to 1; zero if the difference is within the noise of the observations.
	Late float64
}

// Value is what is known of the pace of one replica. The zero value is that of a replica of which nothing is known.
type Value struct {
	// Speed is relative to the mean of the service; zero if it is not distinguished from it.
	Speed float64
	// Chances holds the chances of late pauses, by target; entries without a target are unused.
	Chances [MaxTargets]Chance
	// Window is the number of requests that the replica may have in flight; zero if only its slots limit them.
	Window float64
	// Cause tells why there is a window.
	Cause Cause
}

// RelativeSpeed returns the speed relative to the mean of the service; one if it is not distinguished from it.
func (value Value) RelativeSpeed() float64 {
	if value.Speed <= 0 {
		return 1
	}
	return value.Speed
}

// LateChance returns by how much the chance that a stream has a pause longer than the target differs from that at all replicas. The
// nearest target that was observed counts.
func (value Value) LateChance(target time.Duration) float64 {
	if target <= 0 {
		return 0
	}
	best, distance := 0.0, time.Duration(math.MaxInt64)
	for _, chance := range value.Chances {
		if away := (chance.Target - target).Abs(); chance.Target > 0 && away < distance {
			best, distance = chance.Late, away
		}
	}
	return best
}

// IsZero reports whether nothing distinguishes the replica from others.
func (value Value) IsZero() bool {
	return value == Value{}
}

// maxAge is the age from which an announced value does not count.
const maxAge = 5 * time.Second

// IsCurrent reports whether values that were announced so long ago count.
func IsCurrent(age time.Duration) bool {
	return age < maxAge
}

// Blend returns the announced value with less weight the older it is, and for the rest the own one.
func Blend(announced, own Value, age time.Duration) Value {
	weight := 1 - float64(max(age, 0))/float64(maxAge)
	if weight <= 0 {
		return own
	}
	blended := Value{Window: announced.Window, Cause: announced.Cause}
	if logSpeed := weight*math.Log(announced.RelativeSpeed()) + (1-weight)*math.Log(own.RelativeSpeed()); logSpeed != 0 {
		blended.Speed = math.Exp(logSpeed)
	}
	// Both list few targets, mostly the same ones.
	for index, chance := range announced.Chances {
		blended.Chances[index] = chance
		blended.Chances[index].Late = weight*chance.Late + (1-weight)*own.LateChance(chance.Target)
	}
	if announced.Chances == ([MaxTargets]Chance{}) {
		for index, chance := range own.Chances {
			blended.Chances[index] = chance
			blended.Chances[index].Late *= 1 - weight
		}
	}
	return blended
}
