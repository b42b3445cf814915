package keepwarm

import (
	"math"
	"time"
)

// Steps of the look ahead.
const (
	// leastStep and mostStep bound one step.
	leastStep = 10 * time.Second
	mostStep  = 5 * time.Minute
	// steps is the number of steps that a look ahead aims at.
	steps = 96
	// longestHold bounds the look ahead.
	longestHold = 7 * 24 * time.Hour
)

// outlook is what a decision on one model weighs.
type outlook struct {
	history *history
	grid    grid
	pool    *ages
	weights Costs
	traits  Properties
}

// idleSecond returns the cost of one second of an idle replica.
func (outlook *outlook) idleSecond() float64 {
	return outlook.weights.IdleHour * outlook.traits.Accelerators / time.Hour.Seconds()
}

// saved returns the cost that a held replica saves when a request arrives at
// the time: the cold start of the request and of those behind it, and the load.
func (outlook *outlook) saved(at time.Time) float64 {
	rates, place := outlook.history.ahead(outlook.grid, at)
	cold := outlook.traits.ColdStart.Seconds()
	followers := float64(rates.burst[place]) * cold / binLength.Seconds() / 2
	return outlook.weights.ColdStart*cold*(1+followers) + outlook.idleSecond()*cold
}

// Pseudo counts that draw the ages of one model towards the pool.
const (
	// pseudoEnds is the weight of the pool in numbers of idle times.
	pseudoEnds = 5.0
	// pseudoExpected is the weight of the pool in expected arrivals.
	pseudoExpected = 3.0
	// poolRisk keeps an empty pool at its start value.
	poolRisk = 1.0
	// startRate is the rate of a short class before anything was seen, in arrivals a second.
	startRate = 1.0 / 1800
)

// hazard returns the arrivals a second to expect at the time, for a model that was idle since its last arrival.
func (outlook *outlook) hazard(at time.Time) float64 {
	history := outlook.history
	rates, place := history.ahead(outlook.grid, at)
	rate := float64(rates.rate[place])
	if history.last.IsZero() {
		return rate
	}
	age := max(at.Sub(history.last), 0)
	class := ageClass(age)
	ages := &history.total.ages
	if class >= shortAges {
		prior := outlook.pool.ratio(class, 1, poolRisk)
		return rate * ages.ratio(class, prior, pseudoExpected)
	}
	width := (ageBounds[class+1] - ageBounds[class]).Seconds()
	prior := outlook.pool.ratio(class, startRate, width)
	return max(rate, ages.ratio(class, prior, pseudoEnds*width))
}

// worth reports whether the expected gain of holding a replica from the time on
// for some while, given that no request arrives before, exceeds the limit, and
// does not fall by more than the loss before. The look ahead ends as soon as
// the answer is certain.
func (outlook *outlook) worth(from time.Time, limit, loss float64) bool {
	idle := outlook.idleSecond()
	if idle <= 0 {
		return true
	}
	hold := time.Duration(min(outlook.saved(from)/idle, longestHold.Seconds()) * float64(time.Second))
	step := min(max(hold/steps, leastStep), mostStep)
	gain, idleSoFar := 0.0, 1.0
	for ahead := time.Duration(0); ahead <= hold; ahead += step {
		at := from.Add(ahead + step/2)
		arrives := -math.Expm1(-outlook.hazard(at) * step.Seconds())
		saved := outlook.saved(at)
		gain += idleSoFar * (arrives*saved - idle*step.Seconds())
		idleSoFar *= 1 - arrives
		if gain > limit {
			return true
		}
		if gain < -loss || gain+idleSoFar*saved < limit {
			return false
		}
	}
	return false
}

// Shares of what a hit saves that a look ahead may lose before it gains. A
// forecast is wrong now and then, so a replica is held, and loaded, somewhat
// earlier than the forecast alone would have it.
const (
	holdLossShare = 0.2
	loadLossShare = 0.1
)

// hold reports whether a loaded replica is worth holding. A long pause is not
// held through, since the replica can be loaded again before its end.
func (outlook *outlook) hold(now time.Time) bool {
	return outlook.worth(now, 0, outlook.loadCost()+holdLossShare*outlook.saved(now))
}

// load reports whether a replica that is not loaded is worth loading now
// rather than later.
func (outlook *outlook) load(now time.Time) bool {
	ready := now.Add(outlook.traits.ColdStart)
	return outlook.worth(ready, outlook.loadCost(), loadLossShare*outlook.saved(ready))
}

// loadCost returns the cost of the accelerators during a load.
func (outlook *outlook) loadCost() float64 {
	return outlook.idleSecond() * outlook.traits.ColdStart.Seconds()
}
