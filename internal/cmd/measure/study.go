package main

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/arrivals"
	"github.com/bronzestall/bronzestall/internal/replay"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// deployment is the workload generator of one deployment with its costs of cold starts and idle hours.
type deployment struct {
	make  func(seed uint64, days int) arrivals.Workload
	costs keepwarm.Costs
}

// study holds the workloads of one deployment, one for each seed, and simulates policies on them.
type study struct {
	workloads []arrivals.Workload
	learning  time.Duration
}

func newStudy(deployment deployment, seeds []uint64, days, learning int) study {
	study := study{learning: time.Duration(learning) * 24 * time.Hour}
	for _, seed := range seeds {
		study.workloads = append(study.workloads, deployment.make(seed, days))
	}
	return study
}

// run simulates all workloads, each with a new policy, and combines the results.
func (study study) run(policy func() keepwarm.Policy) replay.Result {
	var sum replay.Result
	for _, workload := range study.workloads {
		sum = sum.Add(replay.Run(workload, policy(), workload.Start.Add(study.learning)))
	}
	return sum
}

// single returns the study reduced to one workload.
func (study study) single(index int) study {
	study.workloads = study.workloads[index : index+1]
	return study
}

// measuredDays returns the number of measured days of all workloads together.
func (study study) measuredDays() float64 {
	learnDays := study.learning.Hours() / 24
	return float64(len(study.workloads)) * (float64(study.workloads[0].Days) - learnDays)
}

func fixed(timeout time.Duration) func() keepwarm.Policy {
	return func() keepwarm.Policy { return keepwarm.NewFixed(timeout) }
}

func predictive(costs keepwarm.Costs) func() keepwarm.Policy {
	return func() keepwarm.Policy { return keepwarm.NewPredictive(keepwarm.NewStatistics(time.UTC), costs) }
}

// Bounds of the search for a fixed timeout.
const (
	shortestTimeout = time.Second
	longestTimeout  = 14 * 24 * time.Hour
	searchSteps     = 18
)

// timeoutMatch is a fixed timeout found by a search, with its result.
type timeoutMatch struct {
	timeout time.Duration
	result  replay.Result
}

// search returns the smallest fixed timeout whose result is accepted and whether there is one. The
// precision is about 0.01% of the logarithmic range.
func (study study) search(accepts func(replay.Result) bool) (timeoutMatch, bool) {
	low, high := float64(shortestTimeout), float64(longestTimeout)
	found := timeoutMatch{timeout: longestTimeout, result: study.run(fixed(longestTimeout))}
	if !accepts(found.result) {
		return found, false
	}
	for range searchSteps {
		middle := geometricMean(low, high)
		timeout := time.Duration(middle)
		result := study.run(fixed(timeout))
		if accepts(result) {
			found = timeoutMatch{timeout: timeout, result: result}
			high = middle
			continue
		}
		low = middle
	}
	return found, true
}

// matchIdleTime returns the smallest fixed timeout whose idle time is at least that of the result.
func (study study) matchIdleTime(result replay.Result) (timeoutMatch, bool) {
	return study.search(func(other replay.Result) bool { return other.Idle >= result.Idle })
}

// matchTail returns the smallest fixed timeout whose 99th percentile is at most that of the result.
func (study study) matchTail(result replay.Result) (timeoutMatch, bool) {
	tail := replay.Quantile(result.Waits, tailQuantile)
	return study.search(func(other replay.Result) bool { return replay.Quantile(other.Waits, tailQuantile) <= tail })
}
