package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

var start = time.Unix(1000, 0)

// replicas returns candidates r0, r1, ... with 16 slots, in data centre "near".
func replicas(count int) []Candidate {
	var all []Candidate
	for i := range count {
		all = append(all, Candidate{Incarnation: topology.Incarnation{ID: fmt.Sprintf("r%d", i)}, Zone: "near", Slots: 16})
	}
	return all
}

func newBalancer() *Balancer {
	return New(rand.New(rand.NewPCG(1, 2)))
}

func TestNoCandidates(t *testing.T) {
	if _, ok := newBalancer().Choose(nil, Ask{}, start); ok {
		t.Error("chose one of none")
	}
}

// TestLongPromptsAreSpread covers streams that stall while their replica reads prompts: prompts that were
// not read yet go to different replicas.
func TestLongPromptsAreSpread(t *testing.T) {
	balancer := newBalancer()
	tokens := map[string]int{}
	for range 12 {
		chosen, _ := balancer.Choose(replicas(4), Ask{Zone: "near", Tokens: 2000}, start)
		tokens[chosen.ID] += 2000
	}
	for id, sum := range tokens {
		if sum > 8000 {
			t.Errorf("%s got %d tokens of 24,000 on four replicas", id, sum)
		}
	}
}

// TestDaemonsPreferDifferentReplicas covers daemons that do not know of each other's prompts.
func TestDaemonsPreferDifferentReplicas(t *testing.T) {
	seen := map[string]bool{}
	for seat := range 4 {
		chosen, _ := newBalancer().Choose(replicas(4), Ask{Zone: "near", Seat: seat, Tokens: 500}, start)
		seen[chosen.ID] = true
	}
	if len(seen) != 4 {
		t.Errorf("four daemons chose %d replicas", len(seen))
	}
}

func TestReadPromptsNoLongerCount(t *testing.T) {
	balancer := newBalancer()
	first, _ := balancer.Choose(replicas(2), Ask{Zone: "near", Tokens: 9000}, start)
	if next, _ := balancer.Choose(replicas(2), Ask{Zone: "near", Tokens: 10}, start); next.ID == first.ID {
		t.Error("chose the replica that reads a long prompt")
	}
	balancer.Begun(first, Ask{Tokens: 9000}, time.Second, true)
	balancer.Done(first.Incarnation, false, start)
	if load := balancer.load(first.Incarnation); load.prefill != 0 || load.own.Running != 0 {
		t.Errorf("load is %+v afterwards", load)
	}
}

func TestFailingReplicaIsBarredAndProbed(t *testing.T) {
	balancer := newBalancer()
	bad := replicas(2)[0].Incarnation
	for range barStreak {
		balancer.load(bad).own.Running++
		balancer.Done(bad, true, start)
	}
	for range 20 {
		chosen, _ := balancer.Choose(replicas(2), Ask{Zone: "near"}, start)
		if chosen.Incarnation == bad {
			t.Fatal("chose a barred replica")
		}
		balancer.Done(chosen.Incarnation, false, start)
	}
	if chosen, ok := balancer.Choose(replicas(1), Ask{Zone: "near"}, start); !ok || chosen.Incarnation != bad {
		t.Error("the only replica was not chosen though it is barred")
	}
	later := start.Add(barFor + time.Second)
	balancer.Done(bad, false, later)
	if !balancer.load(bad).barredUntil.IsZero() {
		t.Error("a success did not lift the bar")
	}
}

func TestExcludedReplicaIsTheLastChoice(t *testing.T) {
	ask := Ask{Zone: "near", Exclude: []topology.Incarnation{{ID: "r0"}}}
	if chosen, _ := newBalancer().Choose(replicas(2), ask, start); chosen.ID != "r1" {
		t.Errorf("chose %s", chosen.ID)
	}
	if chosen, _ := newBalancer().Choose(replicas(1), ask, start); chosen.ID != "r0" {
		t.Errorf("chose %s", chosen.ID)
	}
}

func TestSlowReplicaGetsLess(t *testing.T) {
	balancer := newBalancer()
	for range 20 {
		balancer.Answered(topology.Incarnation{ID: "r0"}, 400*time.Millisecond)
		balancer.Answered(topology.Incarnation{ID: "r1"}, 100*time.Millisecond)
	}
	counts := map[string]int{}
	for range 16 {
		chosen, _ := balancer.Choose(replicas(2), Ask{Zone: "near"}, start)
		counts[chosen.ID]++
	}
	if counts["r0"] >= counts["r1"] {
		t.Errorf("the slow replica got %d, the quick one %d", counts["r0"], counts["r1"])
	}
}

func TestOwnDataCentreGoesFirst(t *testing.T) {
	both := replicas(2)
	both[1-seated(both, 0)].Zone = "far"
	if chosen, _ := newBalancer().Choose(both, Ask{Zone: "near"}, start); chosen.Zone != "near" {
		t.Errorf("chose %s in data centre %s", chosen.ID, chosen.Zone)
	}
}

func BenchmarkChoose(b *testing.B) {
	balancer := newBalancer()
	all := replicas(100)
	for b.Loop() {
		chosen, _ := balancer.Choose(all, Ask{Zone: "near", Tokens: 1000}, start)
		balancer.Begun(chosen, Ask{Tokens: 1000}, time.Second, true)
		balancer.Done(chosen.Incarnation, false, start)
	}
}

// TestFullReplicasAreNotChosen covers a rise of demand that the replicas of a model cannot serve in time.
func TestFullReplicasAreNotChosen(t *testing.T) {
	balancer := newBalancer()
	ask := Ask{Zone: "near", Fullest: 1.25}
	for range 2 * 20 {
		if _, ok := balancer.Choose(replicas(2), ask, start); !ok {
			t.Fatal("refused below the limit")
		}
	}
	if chosen, ok := balancer.Choose(replicas(2), ask, start); ok {
		t.Errorf("chose %s with %d requests in flight on 16 slots", chosen.ID, chosen.InFlight)
	}
	balancer.SetOthers(map[topology.Incarnation]demand.InFlight{})
	balancer.Done(topology.Incarnation{ID: "r0"}, false, start)
	if chosen, ok := balancer.Choose(replicas(2), ask, start); !ok || chosen.ID != "r0" {
		t.Errorf("chose %s after it had room", chosen.ID)
	}
}
