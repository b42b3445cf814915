package route

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"
)

// The simulated data centre. herdRate is the arrivals per second at each router, at the peak of two years; a
// request takes 5 s on average, and replicas report their load every 1 s.
const (
	herdRouters  = 72
	herdReplicas = 600
	herdSlots    = 16
	herdRate     = 19.0
	herdService  = 5 * time.Second
	herdReport   = time.Second
	herdLength   = 10 * time.Second
	herdTick     = 10 * time.Millisecond
)

// running is a request that ends at a time.
type running struct {
	end     time.Time
	replica int
	attempt *Attempt
}

// runningHeap is a heap of running requests, ordered by their end.
type runningHeap []running

func (e runningHeap) Len() int           { return len(e) }
func (e runningHeap) Less(i, j int) bool { return e[i].end.Before(e[j].end) }
func (e runningHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *runningHeap) Push(x any)        { *e = append(*e, x.(running)) }
func (e *runningHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chooser picks a replica for one router.
type chooser func(router *Router, candidates []Candidate) (int, bool)

// hashedTwo chooses by affinity and secondary affinity, as for requests with a fingerprint not seen before.
func hashedTwo(router *Router, candidates []Candidate) (int, bool) {
	fingerprint := router.random.Uint64()
	return router.Choose(candidates, Requirements{Daemons: herdRouters, Affinity: fingerprint, SecondaryAffinity: fingerprint})
}

func randomTwo(router *Router, candidates []Candidate) (int, bool) {
	return router.Choose(candidates, Requirements{Daemons: herdRouters})
}

// leastLoaded is the baseline: the lowest sum of the report and what this router sent since, ties broken at random.
func leastLoaded(router *Router, candidates []Candidate) (int, bool) {
	best, bestLoad := 0, -1
	offset := router.random.IntN(len(candidates))
	for step := range candidates {
		index := (offset + step) % len(candidates)
		report, sentSince := router.states[candidates[index].Upstream].estimate(&candidates[index], router.clock.Now())
		if bestLoad < 0 || report+sentSince < bestLoad {
			best, bestLoad = index, report+sentSince
		}
	}
	return best, true
}

// simulateHerd runs the simulation. It returns, in ascending order, the load of the chosen replica at each request,
// and the number of requests without a replica.
func simulateHerd(choose chooser) (found []int, refused int) {
	clock := clocktesting.NewFakePassiveClock(time.Unix(1000, 0))
	random := rand.New(rand.NewPCG(1, 2))
	var routers []*Router
	for n := range herdRouters {
		routers = append(routers, New(clock, rand.New(rand.NewPCG(3, uint64(n)))))
	}
	load := make([]int, herdReplicas)
	var active runningHeap
	var candidates []Candidate
	begin := clock.Now()
	for now := begin; now.Sub(begin) < herdLength; now = now.Add(herdTick) {
		clock.SetTime(now)
		for len(active) > 0 && !active[0].end.After(now) {
			ended := heap.Pop(&active).(running)
			load[ended.replica]--
			ended.attempt.Done()
		}
		if now.Sub(begin)%herdReport == 0 {
			candidates = reports(load, now)
		}
		for _, router := range routers {
			if random.Float64() >= herdRate*herdTick.Seconds() {
				continue
			}
			index, ok := choose(router, candidates)
			if !ok {
				refused++
				continue
			}
			found = append(found, load[index])
			load[index]++
			attempt := router.StartAttempt(candidates[index].Upstream, false)
			heap.Push(&active, running{now.Add(time.Duration(random.ExpFloat64() * float64(herdService))), index, attempt})
		}
	}
	slices.Sort(found)
	return found, refused
}

func reports(load []int, now time.Time) []Candidate {
	candidates := make([]Candidate, len(load))
	for n := range load {
		candidates[n] = Candidate{Upstream: fmt.Sprint("u", n), Slots: herdSlots, Running: load[n], Reported: now}
	}
	return candidates
}

// TestManyRoutersDoNotHerd guards against herding: with outdated reports, all routers would choose the replica that
// was the least loaded. It compares the share of requests on replicas at capacity with that of the baseline.
func TestManyRoutersDoNotHerd(t *testing.T) {
	over := map[string]float64{}
	for name, choose := range map[string]chooser{"random two": randomTwo, "hashed two": hashedTwo, "least loaded": leastLoaded} {
		found, refused := simulateHerd(choose)
		at, _ := slices.BinarySearch(found, herdSlots)
		over[name] = float64(len(found)-at) / float64(len(found))
		t.Logf("%s: %d requests, load found p50 %d p99 %d max %d; %.2f%% found a replica at capacity, %d none", name,
			len(found), found[len(found)/2], found[len(found)*99/100], found[len(found)-1], 100*over[name], refused)
		if refused > 0 {
			t.Errorf("%s: %d requests found no replica", name, refused)
		}
	}
	if max(over["random two"], over["hashed two"])*10 > over["least loaded"] {
		t.Errorf("shares of requests that found a replica at capacity: %v", over)
	}
}
