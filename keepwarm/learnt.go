package keepwarm

import (
	"math"
	"time"
)

// Intervals between two decisions on one model.
const (
	// leastPause and mostPause bound the interval while the model is held.
	leastPause = 15 * time.Second
	mostPause  = 5 * time.Minute
	// agePart is the part of the age of idleness that passes between two decisions.
	agePart = 8
	// coldPause is the interval while the model is not held and may be wanted soon.
	coldPause = time.Minute
	// quietPause is the longest interval while the model is not held.
	quietPause = 6 * time.Hour
)

// Predictive holds replicas by what its book learnt. Use NewLearnt. It is not safe for concurrent use.
type Predictive struct {
	book    *Statistics
	weights Costs
	traits  map[string]Properties
	// held tells which models were wanted at the last decision.
	held map[string]bool
}

// NewPredictive returns the policy that learns in the book.
func NewPredictive(book *Statistics, weights Costs) *Predictive {
	return &Predictive{book: book, weights: weights, traits: map[string]Properties{}, held: map[string]bool{}}
}

// Describe sets the traits of a model.
func (learnt *Predictive) Describe(model string, traits Properties) {
	learnt.traits[model] = traits
}

// Forget drops the traits of a model.
func (learnt *Predictive) Forget(model string) {
	delete(learnt.traits, model)
	delete(learnt.held, model)
}

// Observe notes n arrivals in the book.
func (learnt *Predictive) Observe(model string, now time.Time, n int) {
	if n < 1 {
		return
	}
	learnt.book.arrive(model, now, n)
	if _, ok := learnt.traits[model]; ok {
		learnt.held[model] = true
	}
}

// Wanted returns the number of replicas that are worth holding now. It costs
// about a hundred forecasts.
func (learnt *Predictive) Wanted(model string, now time.Time) int {
	outlook, ok := learnt.outlook(model, now)
	if !ok {
		return 0
	}
	wanted := outlook.load(now)
	if learnt.held[model] {
		wanted = outlook.hold(now)
	}
	learnt.held[model] = wanted
	if !wanted {
		return 0
	}
	return outlook.replicas(now)
}

// Next returns the time of the next decision: soon while the model is held or
// about to be wanted, else when the next bin that had arrivals comes near.
func (learnt *Predictive) Next(model string, now time.Time) time.Time {
	outlook, ok := learnt.outlook(model, now)
	if !ok {
		return time.Time{}
	}
	history := outlook.history
	if learnt.held[model] {
		pause := mostPause
		if !history.last.IsZero() {
			pause = min(max(now.Sub(history.last)/agePart, leastPause), mostPause)
		}
		return now.Add(pause)
	}
	return now.Add(min(max(outlook.quiet(now), coldPause), quietPause))
}

func (learnt *Predictive) outlook(model string, now time.Time) (outlook, bool) {
	traits, ok := learnt.traits[model]
	if !ok {
		return outlook{}, false
	}
	history, ok := learnt.book.histories[model]
	if !ok {
		return outlook{}, false
	}
	grid := learnt.book.grid
	history.roll(max(grid.day(now), history.total.day))
	return outlook{history: history, grid: grid, pool: &learnt.book.pool, weights: learnt.weights, traits: traits}, true
}

// quiet returns the time for which no bin with arrivals is in reach of a look ahead.
func (outlook *outlook) quiet(now time.Time) time.Duration {
	reach := outlook.traits.ColdStart + binLength
	bin := outlook.grid.bin(now.Add(reach))
	for ahead := range int(quietPause / binLength) {
		timeOfDay := (bin + ahead) % binsPerDay
		for past := range daysPerWeek {
			if outlook.history.total.cells.at(past*binsPerDay+timeOfDay).days > 0 {
				return time.Duration(ahead-1) * binLength
			}
		}
	}
	return quietPause
}

// usualConcurrency is the number of requests that a replica serves at once if the traits do not tell.
const usualConcurrency = 16

// usualService is the time that a request is taken to run.
const usualService = 10 * time.Second

// replicas returns the number of replicas that the forecast load needs, at least one.
func (outlook *outlook) replicas(now time.Time) int {
	most := outlook.traits.MaxReplicas
	if most <= 1 {
		return 1
	}
	concurrency := outlook.traits.Concurrency
	if concurrency < 1 {
		concurrency = usualConcurrency
	}
	rates, place := outlook.history.ahead(outlook.grid, now)
	requests := float64(rates.burst[place]) + 1
	running := requests / binLength.Seconds() * usualService.Seconds()
	return min(max(1, int(math.Ceil(running/float64(concurrency)))), most)
}
