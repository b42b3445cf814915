package pace

import (
	"math"
	"time"
)

// MaxTargets is the number of longest pauses that are told apart. Routes with further ones share the entry of the nearest.
const MaxTargets = 4

// Pauses counts the streams of routes with one longest pause.
type Pauses struct {
	// Target is the longest pause that the routes allow; zero if the entry is unused.
	Target time.Duration
	// Streams is the number of streams that began, and Late that of those with a longer pause.
	Streams, Late float64
}

// Sums are the observations of one replica. The zero value has none.
type Sums struct {
	// Service is the service of the replica, and Slots the number of requests that it runs at once.
	Service string
	Slots   int
	// Gaps has the logarithm of the mean time between events in ms by the requests in flight for each slot.
	Gaps Regression
	// Starts has the logarithm of the time to the first event in ms by the logarithm of the prompt tokens that were read for it, of
	// requests that found a free slot.
	Starts Regression
	// Pauses counts streams by the longest pause that their routes allow.
	Pauses [MaxTargets]Pauses
	// Good is the number of requests that began in time. Late is that of those that began late, Rejected of those that were rejected,
	// although slots were free, and Failed of those that failed.
	Good, Late, Rejected, Failed float64
}

// IsZero reports whether there are no observations.
func (sums *Sums) IsZero() bool {
	return sums.Gaps.Count == 0 && sums.Starts.Count == 0 && sums.Good+sums.Late+sums.Rejected+sums.Failed == 0 && !sums.hasPauses()
}

func (sums *Sums) hasPauses() bool {
	for index := range sums.Pauses {
		if sums.Pauses[index].Streams > 0 || sums.Pauses[index].Late > 0 {
			return true
		}
	}
	return false
}

// IsFinite reports whether no sum is infinite or not a number.
func (sums *Sums) IsFinite() bool {
	total := sums.Good + sums.Late + sums.Rejected + sums.Failed
	for index := range sums.Pauses {
		total += sums.Pauses[index].Streams + sums.Pauses[index].Late
	}
	return sums.Gaps.IsFinite() && sums.Starts.IsFinite() && !math.IsNaN(total) && !math.IsInf(total, 0)
}

// shortestTime is the least time that is observed, since logarithms of shorter ones are mostly noise of the clock and the network.
const shortestTime = time.Millisecond

// logMilliseconds returns the logarithm of the time in milliseconds.
func logMilliseconds(observed time.Duration) float64 {
	return math.Log(float64(max(observed, shortestTime)) / float64(time.Millisecond))
}

// AddGap adds the mean time between events of a part of a stream, with the number of requests known to be in flight.
func (sums *Sums) AddGap(mean time.Duration, inFlight int) {
	sums.Gaps.Add(float64(inFlight)/float64(max(sums.Slots, 1)), logMilliseconds(mean))
}

// AddStart adds the time to the first event of a request that found a free slot, with the prompt tokens that were read for it.
func (sums *Sums) AddStart(wait time.Duration, tokens int) {
	sums.Starts.Add(math.Log1p(float64(max(tokens, 0))), logMilliseconds(wait))
}

// AddStream adds a stream of a route with the longest pause.
func (sums *Sums) AddStream(target time.Duration) {
	if entry := entryOf(&sums.Pauses, target); entry != nil {
		entry.Streams++
	}
}

// AddLatePause adds the first pause of a stream that is longer than the longest pause of its route.
func (sums *Sums) AddLatePause(target time.Duration) {
	if entry := entryOf(&sums.Pauses, target); entry != nil {
		entry.Late++
	}
}

// entryOf returns the entry of the target, a free one, or else the nearest; nil if there is no target.
func entryOf(pauses *[MaxTargets]Pauses, target time.Duration) *Pauses {
	if target <= 0 {
		return nil
	}
	nearest := &pauses[0]
	for index := range pauses {
		entry := &pauses[index]
		if entry.Target == target || entry.Target == 0 {
			entry.Target = target
			return entry
		}
		if (entry.Target - target).Abs() < (nearest.Target - target).Abs() {
			nearest = entry
		}
	}
	return nearest
}

// plus adds the observations of the other sums, whose service and slots take precedence.
func (sums Sums) plus(other *Sums) Sums {
	sums.Service, sums.Slots = other.Service, other.Slots
	sums.Gaps = sums.Gaps.Plus(other.Gaps)
	sums.Starts = sums.Starts.Plus(other.Starts)
	for index := range other.Pauses {
		if entry := entryOf(&sums.Pauses, other.Pauses[index].Target); entry != nil {
			entry.Streams += other.Pauses[index].Streams
			entry.Late += other.Pauses[index].Late
		}
	}
	sums.Good += other.Good
	sums.Late += other.Late
	sums.Rejected += other.Rejected
	sums.Failed += other.Failed
	return sums
}

// scaled returns the sums with the weight of all observations multiplied by the factor.
func (sums Sums) scaled(factor float64) Sums {
	sums.Gaps = sums.Gaps.Scaled(factor)
	sums.Starts = sums.Starts.Scaled(factor)
	for index := range sums.Pauses {
		sums.Pauses[index].Streams *= factor
		sums.Pauses[index].Late *= factor
	}
	sums.Good *= factor
	sums.Late *= factor
	sums.Rejected *= factor
	sums.Failed *= factor
	return sums
}
