package pacesim

import (
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// disturbance is one case of the table: what happens to the first replica, or to all, after disturbedAt.
type disturbance struct {
	name string
	// first is set if the results are those of the first replica, not of all.
	first  bool
	speeds []float64
	// disturb is called at each millisecond.
	disturb func(sim *simulation, passed time.Duration)
}

// at calls the function if the time has come.
func at(passed, when time.Duration, call func()) {
	if passed == disturbedAt+when {
		call()
	}
}

// returnCold replaces the replicas by incarnations that are slow for two seconds.
func (sim *simulation) returnCold(replicas []*replica) {
	sim.list(0)
	for _, replica := range replicas {
		replica.Incarnation = topology.Incarnation{ID: replica.ID, Started: 1}
		replica.down = false
	}
	sim.list(2 * time.Second)
}

var disturbances = []disturbance{
	{"speeds 0.6 to 1.6", false, []float64{0.6, 1, 1.6, 1}, func(*simulation, time.Duration) {}},
	{"one speed", false, []float64{1}, func(*simulation, time.Duration) {}},
	{"one of eight slow for 5 s", true, []float64{1}, func(sim *simulation, passed time.Duration) {
		at(passed, 0, func() { sim.replicas[0].speed = 0.2 })
		at(passed, 5*time.Second, func() { sim.replicas[0].speed = 1 })
	}},
	{"all back at once under a burst", false, []float64{1}, func(sim *simulation, passed time.Duration) {
		at(passed, 0, func() {
			for _, replica := range sim.replicas {
				sim.crash(replica)
				replica.failsAbove, replica.speed = 8, 0.5
			}
			sim.returnCold(sim.replicas)
			sim.rate = 2.5 * requestRate
		})
		at(passed, 2*time.Second, func() {
			for _, replica := range sim.replicas {
				replica.failsAbove, replica.speed = 0, 1
			}
		})
		at(passed, 6*time.Second, func() { sim.rate = requestRate })
	}},
	{"fails above 6 streams", true, []float64{1}, func(sim *simulation, passed time.Duration) {
		at(passed, 0, func() { sim.replicas[0].failsAbove = 6 })
	}},
	{"crashes, recovers after 3 s", true, []float64{1}, func(sim *simulation, passed time.Duration) {
		at(passed, 0, func() { sim.crash(sim.replicas[0]) })
		at(passed, 3*time.Second, func() { sim.replicas[0].down = false })
	}},
}

// seeds is the number of seeds of each case.
const seeds = uint64(4)

// Result is what came of one case, as the mean over the seeds.
type Result struct {
	// Busiest is the highest load of a replica by its speed, as a multiple of the mean.
	Busiest float64
	// Begun, LatePauses and LateStarts are the numbers of streams that began, that had a late pause and that began late, and Failed that
	// of requests that failed.
	Begun, LatePauses, LateStarts, Failed float64
	// Carried is the time until the first replica had its share of the requests again.
	Carried time.Duration
}

// Comparison is one case without and with the choice by pace.
type Comparison struct {
	Name         string
	Today, Paced Result
}

// Compare runs all cases.
func Compare() []Comparison {
	var compared []Comparison
	for _, disturbance := range disturbances {
		compared = append(compared, Comparison{Name: disturbance.name, Today: disturbance.run(false), Paced: disturbance.run(true)})
	}
	return compared
}

// run runs the case with all seeds. What came before the disturbance does not count.
func (disturbance *disturbance) run(paced bool) (mean Result) {
	for seed := range seeds {
		sim := newSimulation(paced, seed, disturbance.speeds)
		sim.run(func(passed time.Duration) {
			at(passed, 0, sim.reset)
			disturbance.disturb(sim, passed)
		})
		disturbance.add(sim, &mean)
	}
	return mean
}

// add adds the results of one seed to the mean.
func (disturbance *disturbance) add(sim *simulation, mean *Result) {
	sum, highest := 0.0, 0.0
	for number, replica := range sim.replicas {
		used := replica.work / replica.speed
		sum, highest = sum+used, max(highest, used)
		if disturbance.first && number > 0 {
			continue
		}
		mean.Begun += float64(replica.began) / float64(seeds)
		mean.Failed += float64(replica.failed) / float64(seeds)
		mean.LatePauses += float64(replica.latePauses) / float64(seeds)
		mean.LateStarts += float64(replica.lateStarts) / float64(seeds)
	}
	carried := sim.replicas[0].carriedAt
	if carried == 0 {
		carried = length - disturbedAt
	}
	mean.Busiest += highest * replicaCount / sum / float64(seeds)
	mean.Carried += carried / time.Duration(seeds)
}
