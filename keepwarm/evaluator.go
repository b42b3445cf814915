package keepwarm

import (
	"math"
	"time"
)

// Steps of the evaluation over future times.
const (
	// minStep and maxStep bound one step.
	minStep = 10 * time.Second
	maxStep = 5 * time.Minute
	// targetSteps is the intended number of steps of one evaluation.
	targetSteps = 96
	// maxHorizon bounds the time that is evaluated.
	maxHorizon = 7 * 24 * time.Hour
)

// evaluator computes the expected cost and savings of keeping one model loaded.
type evaluator struct {
	history    *history
	grid       grid
	pool       *ages
	costs      Costs
	properties Properties
}

// idleCostPerSecond returns the cost of one second of an idle replica.
func (evaluator *evaluator) idleCostPerSecond() float64 {
	return evaluator.costs.IdleHour * evaluator.properties.Accelerators / time.Hour.Seconds()
}

// savings returns the cost that a loaded replica avoids when a request arrives at the given time: the cold start of
// that request and of those that arrive during it, and the load.
func (evaluator *evaluator) savings(at time.Time) float64 {
	rates, index := evaluator.history.forecastAt(evaluator.grid, at)
	coldStart := evaluator.properties.ColdStart.Seconds()
	followers := float64(rates.burst[index]) * coldStart / binLength.Seconds() / 2
	return evaluator.costs.ColdStart*coldStart*(1+followers) + evaluator.idleCostPerSecond()*coldStart
}

// Pseudo counts that shrink the ages of one model towards the pool.
const (
	// pseudoEnds is the weight of the pool in ended idle times.
	pseudoEnds = 5.0
	// pseudoExpected is the weight of the pool in expected arrivals.
	pseudoExpected = 3.0
	// poolRisk is the pseudo risk of the pool in long classes, which keeps the ratio of an empty pool at one.
	poolRisk = 1.0
	// initialRate is the rate of a short class without any observation, in arrivals per second.
	initialRate = 1.0 / 1800
)

// hazard returns the expected arrivals per second at the given time, for a model that is idle since its last arrival.
func (evaluator *evaluator) hazard(at time.Time) float64 {
	history := evaluator.history
	rates, index := history.forecastAt(evaluator.grid, at)
	rate := float64(rates.rate[index])
	if history.last.IsZero() {
		return rate
	}
	age := max(at.Sub(history.last), 0)
	class := ageClass(age)
	ages := &history.total.ages
	if class >= shortAges {
		prior := evaluator.pool.ratio(class, 1, poolRisk)
		return rate * ages.ratio(class, prior, pseudoExpected)
	}
	width := (ageBounds[class+1] - ageBounds[class]).Seconds()
	prior := evaluator.pool.ratio(class, initialRate, width)
	return max(rate, ages.ratio(class, prior, pseudoEnds*width))
}

// gainExceeds reports whether the expected gain of keeping a replica from the given time on exceeds the limit, if no
// request arrives before and the gain does not first fall below minus maxLoss. The evaluation ends as soon as the
// result is certain.
func (evaluator *evaluator) gainExceeds(from time.Time, limit, maxLoss float64) bool {
	idle := evaluator.idleCostPerSecond()
	if idle <= 0 {
		return true
	}
	horizon := time.Duration(min(evaluator.savings(from)/idle, maxHorizon.Seconds()) * float64(time.Second))
	step := min(max(horizon/targetSteps, minStep), maxStep)
	gain, idleSoFar := 0.0, 1.0
	for ahead := time.Duration(0); ahead <= horizon; ahead += step {
		at := from.Add(ahead + step/2)
		arrives := -math.Expm1(-evaluator.hazard(at) * step.Seconds())
		savings := evaluator.savings(at)
		gain += idleSoFar * (arrives*savings - idle*step.Seconds())
		idleSoFar *= 1 - arrives
		if gain > limit {
			return true
		}
		if gain < -maxLoss || gain+idleSoFar*savings < limit {
			return false
		}
	}
	return false
}

// Fractions of the savings of one arrival that an evaluation may lose before it gains. Forecasts are sometimes wrong,
// so a replica is kept, and loaded, somewhat earlier than the forecast alone requires.
const (
	holdLossFraction = 0.2
	loadLossFraction = 0.1
)

// hold reports whether a loaded replica is worth keeping. A replica is not kept through a long pause, since it can be
// loaded again before the end of the pause.
func (evaluator *evaluator) hold(now time.Time) bool {
	return evaluator.gainExceeds(now, 0, evaluator.loadCost()+holdLossFraction*evaluator.savings(now))
}

// load reports whether a replica that is not loaded is worth loading now rather than later.
func (evaluator *evaluator) load(now time.Time) bool {
	ready := now.Add(evaluator.properties.ColdStart)
	return evaluator.gainExceeds(ready, evaluator.loadCost(), loadLossFraction*evaluator.savings(ready))
}

// loadCost returns the cost of the accelerators during a load.
func (evaluator *evaluator) loadCost() float64 {
	return evaluator.idleCostPerSecond() * evaluator.properties.ColdStart.Seconds()
}
