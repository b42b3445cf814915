package keepwarm

import (
	"math"
	"time"
)

// Intervals between two decisions on one model.
const (
	// minHeldInterval and maxHeldInterval bound the interval while the model is kept loaded.
	minHeldInterval = 15 * time.Second
	maxHeldInterval = 5 * time.Minute
	// ageDivisor sets the interval to the current idle time divided by it.
	ageDivisor = 8
	// minUnheldInterval is the shortest interval while the model is not kept loaded, used if it may be wanted soon.
	minUnheldInterval = time.Minute
	// maxUnheldInterval is the longest interval while the model is not kept loaded.
	maxUnheldInterval = 6 * time.Hour
)

// Predictive is a policy that decides from learned statistics. Use NewPredictive. It is not safe for concurrent use.
type Predictive struct {
	statistics *Statistics
	costs      Costs
	properties map[string]Properties
	// held contains the models that were wanted at the last decision.
	held map[string]bool
}

// NewPredictive returns a policy that adds arrivals to the statistics and decides from them.
func NewPredictive(statistics *Statistics, costs Costs) *Predictive {
	return &Predictive{statistics: statistics, costs: costs, properties: map[string]Properties{}, held: map[string]bool{}}
}

// Describe sets the properties of a model.
func (policy *Predictive) Describe(model string, properties Properties) {
	policy.properties[model] = properties
}

// Forget deletes the properties of a model.
func (policy *Predictive) Forget(model string) {
	delete(policy.properties, model)
	delete(policy.held, model)
}

// Observe adds n arrivals to the statistics.
func (policy *Predictive) Observe(model string, now time.Time, n int) {
	if n < 1 {
		return
	}
	policy.statistics.recordArrivals(model, now, n)
	if _, ok := policy.properties[model]; ok {
		policy.held[model] = true
	}
}

// Wanted returns the number of replicas that are worth keeping loaded now. It costs about a hundred forecasts.
func (policy *Predictive) Wanted(model string, now time.Time) int {
	evaluator, ok := policy.evaluator(model, now)
	if !ok {
		return 0
	}
	wanted := evaluator.load(now)
	if policy.held[model] {
		wanted = evaluator.hold(now)
	}
	policy.held[model] = wanted
	if !wanted {
		return 0
	}
	return evaluator.replicas(now)
}

// Next returns the time of the next decision: soon while the model is kept loaded or may be wanted soon, else shortly
// before the next bin that had arrivals.
func (policy *Predictive) Next(model string, now time.Time) time.Time {
	evaluator, ok := policy.evaluator(model, now)
	if !ok {
		return time.Time{}
	}
	history := evaluator.history
	if policy.held[model] {
		interval := maxHeldInterval
		if !history.last.IsZero() {
			interval = min(max(now.Sub(history.last)/ageDivisor, minHeldInterval), maxHeldInterval)
		}
		return now.Add(interval)
	}
	return now.Add(min(max(evaluator.timeToActivity(now), minUnheldInterval), maxUnheldInterval))
}

// evaluator returns the evaluator of a model, and false if the model has no properties or no statistics.
func (policy *Predictive) evaluator(model string, now time.Time) (evaluator, bool) {
	properties, ok := policy.properties[model]
	if !ok {
		return evaluator{}, false
	}
	history, ok := policy.statistics.histories[model]
	if !ok {
		return evaluator{}, false
	}
	grid := policy.statistics.grid
	history.roll(max(grid.day(now), history.total.day))
	return evaluator{history: history, grid: grid, pool: &policy.statistics.pool, costs: policy.costs, properties: properties}, true
}

// timeToActivity returns the time during which no bin with arrivals is within a cold start and one bin from now.
func (evaluator *evaluator) timeToActivity(now time.Time) time.Duration {
	reach := evaluator.properties.ColdStart + binLength
	bin := evaluator.grid.bin(now.Add(reach))
	for ahead := range int(maxUnheldInterval / binLength) {
		timeOfDay := (bin + ahead) % binsPerDay
		for past := range daysPerWeek {
			if evaluator.history.total.cells.at(past*binsPerDay+timeOfDay).days > 0 {
				return time.Duration(ahead-1) * binLength
			}
		}
	}
	return maxUnheldInterval
}

// defaultConcurrency is the number of requests that a replica is taken to serve at once if the properties do not say.
const defaultConcurrency = 16

// defaultServiceTime is the assumed duration of a request.
const defaultServiceTime = 10 * time.Second

// replicas returns the number of replicas that the forecast load needs, at least one.
func (evaluator *evaluator) replicas(now time.Time) int {
	maxReplicas := evaluator.properties.MaxReplicas
	if maxReplicas <= 1 {
		return 1
	}
	concurrency := evaluator.properties.Concurrency
	if concurrency < 1 {
		concurrency = defaultConcurrency
	}
	rates, index := evaluator.history.forecastAt(evaluator.grid, now)
	requests := float64(rates.burst[index]) + 1
	running := requests / binLength.Seconds() * defaultServiceTime.Seconds()
	return min(max(1, int(math.Ceil(running/float64(concurrency)))), maxReplicas)
}
