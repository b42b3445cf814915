package balance

import (
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// disturbance is one case of the table: what happens to the first replica, or to all, after paceDisturbed.
type disturbance struct {
	name string
	// first is set if the results are those of the first replica, not of all.
	first  bool
	speeds []float64
	// disturb is called at each millisecond.
	disturb func(sim *paceSimulation, passed time.Duration)
}

// at calls the function if the time has come.
func at(passed, when time.Duration, call func()) {
	if passed == paceDisturbed+when {
		call()
	}
}

// returnCold replaces the replicas by incarnations that are slow for two seconds.
func (sim *paceSimulation) returnCold(replicas []*paceReplica) {
	known := sim.list(0, nil)
	for _, replica := range replicas {
		replica.Incarnation = topology.Incarnation{ID: replica.ID, Started: 1}
		replica.down = false
	}
	sim.list(2*time.Second, known)
}

var disturbances = []disturbance{
	{"speeds 0.6 to 1.6", false, []float64{0.6, 1, 1.6, 1}, func(*paceSimulation, time.Duration) {}},
	{"one speed", false, []float64{1}, func(*paceSimulation, time.Duration) {}},
	{"one of eight slow for 5 s", true, []float64{1}, func(sim *paceSimulation, passed time.Duration) {
		at(passed, 0, func() { sim.replicas[0].speed = 0.2 })
		at(passed, 5*time.Second, func() { sim.replicas[0].speed = 1 })
	}},
	{"all back at once under a burst", false, []float64{1}, func(sim *paceSimulation, passed time.Duration) {
		at(passed, 0, func() {
			for _, replica := range sim.replicas {
				sim.crash(replica)
				replica.failsAbove, replica.speed = 8, 0.5
			}
			sim.returnCold(sim.replicas)
			sim.rate = 2.5 * paceRate
		})
		at(passed, 2*time.Second, func() {
			for _, replica := range sim.replicas {
				replica.failsAbove, replica.speed = 0, 1
			}
		})
		at(passed, 6*time.Second, func() { sim.rate = paceRate })
	}},
	{"fails above 6 streams", true, []float64{1}, func(sim *paceSimulation, passed time.Duration) {
		at(passed, 0, func() { sim.replicas[0].failsAbove = 6 })
	}},
	{"crashes, recovers after 3 s", true, []float64{1}, func(sim *paceSimulation, passed time.Duration) {
		at(passed, 0, func() { sim.crash(sim.replicas[0]) })
		at(passed, 3*time.Second, func() { sim.replicas[0].down = false })
	}},
}

// paceResult is what came of one case, summed over seeds.
const paceSeeds = uint64(4)

type paceResult struct {
	busiest, latePauses, lateStarts float64
	failed, carried, seeds          float64
}

// runDisturbance runs the case with paceSeeds seeds. What came before the disturbance does not count.
func runDisturbance(test disturbance, paced bool) (result paceResult) {
	for seed := range paceSeeds {
		sim := newPaceSimulation(paced, seed, test.speeds)
		sim.run(func(passed time.Duration) {
			at(passed, 0, sim.reset)
			test.disturb(sim, passed)
		})
		sum, highest, sent, carried := 0.0, 0.0, 0, time.Duration(0)
		for number, replica := range sim.replicas {
			used := replica.work / replica.speed
			sum, highest, sent = sum+used, max(highest, used), sent+replica.sent
			if test.first && number > 0 {
				continue
			}
			result.failed += float64(replica.failed)
			result.latePauses += float64(replica.latePauses)
			result.lateStarts += float64(replica.lateStarts)
		}
		if carried = sim.replicas[0].carriedAt; carried == 0 {
			carried = paceLength - paceDisturbed
		}
		result.seeds++
		result.busiest += highest * paceReplicas / sum
		result.carried += carried.Seconds()
	}
	return result
}

// TestPaceOfReplicas compares the choice by pace with the one without, in one table. It guards against replicas that differ in speed
// being loaded unevenly, against late pauses, and against floods of replicas that start or recover.
func TestPaceOfReplicas(t *testing.T) {
	t.Logf("%-32s %-6s %8s %7s %7s %7s %9s", "case", "choice", "busiest", "pauses", "starts", "failed", "share, s")
	results := map[string][2]paceResult{}
	for _, test := range disturbances {
		pair := [2]paceResult{runDisturbance(test, false), runDisturbance(test, true)}
		for index, name := range []string{"today", "pace"} {
			r := pair[index]
			t.Logf("%-32s %-6s %8.2f %7.0f %7.0f %7.0f %9.1f", test.name, name, r.busiest/r.seeds, r.latePauses/r.seeds, r.lateStarts/r.seeds, r.failed/r.seeds, r.carried/r.seeds)
		}
		results[test.name] = pair
	}
	for name, limits := range map[string]struct{ busiest, pauses, failed, carried float64 }{
		"speeds 0.6 to 1.6":              {1.25, 0.7, 1, 5},
		"one speed":                      {1.15, 1.2, 1, 5},
		"one of eight slow for 5 s":      {1.15, 1.3, 1, 5},
		"all back at once under a burst": {1.15, 1.2, 1.1, 5},
		"fails above 6 streams":          {1.25, 1.2, 0.5, 5},
		"crashes, recovers after 3 s":    {1.15, 1.8, 0.4, 10},
	} {
		today, paced := results[name][0], results[name][1]
		if paced.busiest > limits.busiest*paced.seeds || paced.latePauses > limits.pauses*today.latePauses ||
			paced.failed > limits.failed*today.failed || paced.carried > limits.carried*paced.seeds {
			t.Errorf("%s: %+v, without the pace %+v", name, paced, today)
		}
	}
}
