package main

import (
	"time"

	"github.com/bronzestall/bronzestall/internal/arrivals"
	"github.com/bronzestall/bronzestall/internal/replay"
	"github.com/bronzestall/bronzestall/keepwarm"
)

// deployment is one workload with the weights of its user.
type deployment struct {
	make    func(seed uint64, days int) arrivals.Workload
	weights keepwarm.Costs
}

// study holds the workloads of one deployment and runs policies over them.
type study struct {
	workloads []arrivals.Workload
	learn     time.Duration
}

func newStudy(deployment deployment, seeds []uint64, days, learn int) study {
	study := study{learn: time.Duration(learn) * 24 * time.Hour}
	for _, seed := range seeds {
		study.workloads = append(study.workloads, deployment.make(seed, days))
	}
	return study
}

// run replays all workloads, each under a new policy.
func (study study) run(policy func() keepwarm.Policy) replay.Result {
	var sum replay.Result
	for _, workload := range study.workloads {
		sum = sum.Add(replay.Run(workload, policy(), workload.Start.Add(study.learn)))
	}
	return sum
}

// only returns the study of one workload.
func (study study) only(place int) study {
	study.workloads = study.workloads[place : place+1]
	return study
}

// measuredDays returns the number of days that are measured over all workloads.
func (study study) measuredDays() float64 {
	learnt := study.learn.Hours() / 24
	return float64(len(study.workloads)) * (float64(study.workloads[0].Days) - learnt)
}

func fixed(timeout time.Duration) func() keepwarm.Policy {
	return func() keepwarm.Policy { return keepwarm.NewFixed(timeout) }
}

func learnt(weights keepwarm.Costs) func() keepwarm.Policy {
	return func() keepwarm.Policy { return keepwarm.NewPredictive(keepwarm.NewStatistics(time.UTC), weights) }
}

// Bounds of the search for a fixed timeout.
const (
	leastTimeout = time.Second
	mostTimeout  = 14 * 24 * time.Hour
	searchSteps  = 18
)

// match is a fixed timeout that was found by a search, with its result.
type match struct {
	timeout time.Duration
	result  replay.Result
}

// search returns the smallest fixed timeout whose result is enough, to about
// 0.01% of the logarithmic range, and whether there is one.
func (study study) search(enough func(replay.Result) bool) (match, bool) {
	low, high := float64(leastTimeout), float64(mostTimeout)
	found := match{timeout: mostTimeout, result: study.run(fixed(mostTimeout))}
	if !enough(found.result) {
		return found, false
	}
	for range searchSteps {
		middle := geometricMean(low, high)
		timeout := time.Duration(middle)
		result := study.run(fixed(timeout))
		if enough(result) {
			found = match{timeout: timeout, result: result}
			high = middle
			continue
		}
		low = middle
	}
	return found, true
}

// sameHours returns the fixed timeout that holds idle accelerators at least as long.
func (study study) sameHours(result replay.Result) (match, bool) {
	return study.search(func(other replay.Result) bool { return other.Idle >= result.Idle })
}

// sameTail returns the fixed timeout whose 99th percentile is at most that of the result.
func (study study) sameTail(result replay.Result) (match, bool) {
	tail := replay.Quantile(result.Waits, tailPart)
	return study.search(func(other replay.Result) bool { return replay.Quantile(other.Waits, tailPart) <= tail })
}
