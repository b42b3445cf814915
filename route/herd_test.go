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

// The simulated data centre: arrivals at the peak of two years, requests of 5 s, reports of 1 s.
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
	sent    *Attempt
}

// endings is a heap of running requests by their end.
type endings []running

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].end.Before(e[j].end) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(running)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// chooser picks a replica for one router.
type chooser func(router *Router, candidates []Candidate) (int, bool)

// hashedTwo chooses as for requests that were never answered before.
func hashedTwo(router *Router, candidates []Candidate) (int, bool) {
	fingerprint := router.random.Uint64()
	return router.Choose(candidates, Requirements{Daemons: herdRouters, Affinity: fingerprint, SecondaryAffinity: fingerprint})
}

func randomTwo(router *Router, candidates []Candidate) (int, bool) {
	return router.Choose(candidates, Requirements{Daemons: herdRouters})
}

// leastLoaded is the baseline: the lowest report plus what this router sent since, ties at random.
func leastLoaded(router *Router, candidates []Candidate) (int, bool) {
	best, bestLoad := 0, -1
	offset := router.random.IntN(len(candidates))
	for step := range candidates {
		index := (offset + step) % len(candidates)
		report, since := router.ledgers[candidates[index].Upstream].known(&candidates[index], router.clock.Now())
		if bestLoad < 0 || report+since < bestLoad {
			best, bestLoad = index, report+since
		}
	}
	return best, true
}

// herd runs the simulation and returns the loads that requests found, in order, and how many found no replica.
func herd(choose chooser) (found []int, refused int) {
	clock := clocktesting.NewFakePassiveClock(time.Unix(1000, 0))
	random := rand.New(rand.NewPCG(1, 2))
	var routers []*Router
	for n := range herdRouters {
		routers = append(routers, New(clock, rand.New(rand.NewPCG(3, uint64(n)))))
	}
	load := make([]int, herdReplicas)
	var active endings
	var candidates []Candidate
	begin := clock.Now()
	for now := begin; now.Sub(begin) < herdLength; now = now.Add(herdTick) {
		clock.SetTime(now)
		for len(active) > 0 && !active[0].end.After(now) {
			ended := heap.Pop(&active).(running)
			load[ended.replica]--
			ended.sent.Done()
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
			sent := router.StartAttempt(candidates[index].Upstream, false)
			heap.Push(&active, running{now.Add(time.Duration(random.ExpFloat64() * float64(herdService))), index, sent})
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

// TestManyRoutersDoNotHerd compares the load that requests find with that of the least loaded choice.
func TestManyRoutersDoNotHerd(t *testing.T) {
	over := map[string]float64{}
	for name, choose := range map[string]chooser{"random two": randomTwo, "hashed two": hashedTwo, "least loaded": leastLoaded} {
		found, refused := herd(choose)
		at, _ := slices.BinarySearch(found, herdSlots)
		over[name] = float64(len(found)-at) / float64(len(found))
		t.Logf("%s: %d requests, found running p50 %d p99 %d max %d; %.2f%% found a full replica, %d none", name,
			len(found), found[len(found)/2], found[len(found)*99/100], found[len(found)-1], 100*over[name], refused)
		if refused > 0 {
			t.Errorf("%s: %d requests found no replica", name, refused)
		}
	}
	if max(over["random two"], over["hashed two"])*10 > over["least loaded"] {
		t.Errorf("shares of requests that found a full replica: %v", over)
	}
}
