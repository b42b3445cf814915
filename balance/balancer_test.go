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
	if _, ok := newBalancer().Choose(nil, Criteria{}, start); ok {
		t.Error("chose a candidate of an empty list")
	}
}

// TestLongPromptsAreSpread guards against streams that stall while their replica reads prompts: prompts that were not
// read yet go to different replicas.
func TestLongPromptsAreSpread(t *testing.T) {
	balancer := newBalancer()
	tokens := map[string]int{}
	for range 12 {
		chosen, _ := balancer.Choose(replicas(4), Criteria{Zone: "near", Tokens: 2000}, start)
		tokens[chosen.ID] += 2000
	}
	for id, sum := range tokens {
		if sum > 8000 {
			t.Errorf("%s got %d tokens of 24,000 on four replicas", id, sum)
		}
	}
}

// TestDaemonsPreferDifferentReplicas covers daemons that have no data about each other's prompts.
func TestDaemonsPreferDifferentReplicas(t *testing.T) {
	seen := map[string]bool{}
	for daemon := range 4 {
		chosen, _ := newBalancer().Choose(replicas(4), Criteria{Zone: "near", DaemonIndex: daemon, Tokens: 500}, start)
		seen[chosen.ID] = true
	}
	if len(seen) != 4 {
		t.Errorf("four daemons chose %d replicas", len(seen))
	}
}

func TestReadPromptsNoLongerCount(t *testing.T) {
	balancer := newBalancer()
	first, _ := balancer.Choose(replicas(2), Criteria{Zone: "near", Tokens: 9000}, start)
	if next, _ := balancer.Choose(replicas(2), Criteria{Zone: "near", Tokens: 10}, start); next.ID == first.ID {
		t.Error("chose the replica that is still reading a long prompt")
	}
	balancer.EndWait(first, Criteria{Tokens: 9000}, time.Second, true)
	balancer.Done(first.Incarnation, false, start)
	if load := balancer.load(first.Incarnation); load.pendingPromptTokens != 0 || load.local.Running != 0 {
		t.Errorf("load is %+v afterwards", load)
	}
}

func TestFailingReplicaIsEjectedAndProbed(t *testing.T) {
	balancer := newBalancer()
	failing := replicas(2)[0].Incarnation
	for range ejectionFailures {
		balancer.load(failing).local.Running++
		balancer.Done(failing, true, start)
	}
	for range 20 {
		chosen, _ := balancer.Choose(replicas(2), Criteria{Zone: "near"}, start)
		if chosen.Incarnation == failing {
			t.Fatal("chose an ejected replica")
		}
		balancer.Done(chosen.Incarnation, false, start)
	}
	if chosen, ok := balancer.Choose(replicas(1), Criteria{Zone: "near"}, start); !ok || chosen.Incarnation != failing {
		t.Error("the only replica was not chosen because it is ejected")
	}
	later := start.Add(ejectionTime + time.Second)
	balancer.Done(failing, false, later)
	if !balancer.load(failing).ejectedUntil.IsZero() {
		t.Error("a success did not end the ejection")
	}
}

func TestExcludedReplicaIsTheLastChoice(t *testing.T) {
	criteria := Criteria{Zone: "near", Exclude: []topology.Incarnation{{ID: "r0"}}}
	if chosen, _ := newBalancer().Choose(replicas(2), criteria, start); chosen.ID != "r1" {
		t.Errorf("chose %s", chosen.ID)
	}
	if chosen, _ := newBalancer().Choose(replicas(1), criteria, start); chosen.ID != "r0" {
		t.Errorf("chose %s", chosen.ID)
	}
}

func TestSlowReplicaGetsFewerRequests(t *testing.T) {
	balancer := newBalancer()
	for range 20 {
		balancer.ObserveLatency(topology.Incarnation{ID: "r0"}, 400*time.Millisecond)
		balancer.ObserveLatency(topology.Incarnation{ID: "r1"}, 100*time.Millisecond)
	}
	counts := map[string]int{}
	for range 16 {
		chosen, _ := balancer.Choose(replicas(2), Criteria{Zone: "near"}, start)
		counts[chosen.ID]++
	}
	if counts["r0"] >= counts["r1"] {
		t.Errorf("the slow replica got %d requests, the fast one %d", counts["r0"], counts["r1"])
	}
}

func TestOwnDataCentreIsPreferred(t *testing.T) {
	both := replicas(2)
	both[1-preferredIndex(both, 0)].Zone = "far"
	if chosen, _ := newBalancer().Choose(both, Criteria{Zone: "near"}, start); chosen.Zone != "near" {
		t.Errorf("chose %s in data centre %s", chosen.ID, chosen.Zone)
	}
}

func BenchmarkChoose(b *testing.B) {
	balancer := newBalancer()
	all := replicas(100)
	for b.Loop() {
		chosen, _ := balancer.Choose(all, Criteria{Zone: "near", Tokens: 1000}, start)
		balancer.EndWait(chosen, Criteria{Tokens: 1000}, time.Second, true)
		balancer.Done(chosen.Incarnation, false, start)
	}
}

// TestOverloadedReplicasAreNotChosen covers a rise of demand that the replicas of a model cannot serve in time.
func TestOverloadedReplicasAreNotChosen(t *testing.T) {
	balancer := newBalancer()
	criteria := Criteria{Zone: "near", MaxLoad: 1.25}
	for range 2 * 20 {
		if _, ok := balancer.Choose(replicas(2), criteria, start); !ok {
			t.Fatal("no replica was chosen below the limit")
		}
	}
	if chosen, ok := balancer.Choose(replicas(2), criteria, start); ok {
		t.Errorf("chose %s with %d requests in flight on 16 slots", chosen.ID, chosen.InFlight)
	}
	balancer.SetRemoteInFlight(map[topology.Incarnation]demand.InFlight{})
	balancer.Done(topology.Incarnation{ID: "r0"}, false, start)
	if chosen, ok := balancer.Choose(replicas(2), criteria, start); !ok || chosen.ID != "r0" {
		t.Errorf("chose %s, want r0, which has capacity again", chosen.ID)
	}
}

// TestRequestsWithoutTargetAcceptAnyWait covers routes without a latency target: only the load limit holds for them.
func TestRequestsWithoutTargetAcceptAnyWait(t *testing.T) {
	for target, want := range map[time.Duration]bool{0: true, time.Second: false, time.Hour: true} {
		balancer := newBalancer()
		load := balancer.load(topology.Incarnation{ID: "r0"})
		load.startRates[0] = 0.1
		for range 10 {
			load.local = load.local.Plus(demand.OneWaiting(0))
		}
		if _, ok := balancer.Choose(replicas(1), Criteria{Zone: "near", MaxLoad: 3, FirstEventTarget: target}, start); ok != want {
			t.Errorf("with the target %v a replica with a wait of 100 s is chosen: %v", target, ok)
		}
	}
}

// TestFirstChoiceKnowsRemoteLoads covers replicas that this daemon has not chosen yet, and that others have filled.
func TestFirstChoiceKnowsRemoteLoads(t *testing.T) {
	balancer := newBalancer()
	busy := demand.InFlight{Running: 100}
	balancer.SetRemoteInFlight(map[topology.Incarnation]demand.InFlight{{ID: "r0"}: busy})
	if chosen, ok := balancer.Choose(replicas(2), Criteria{Zone: "near", MaxLoad: 2}, start); !ok || chosen.ID != "r1" {
		t.Errorf("chose %s, want r1, which is idle", chosen.ID)
	}
	if chosen, ok := balancer.Choose(replicas(1), Criteria{Zone: "near", MaxLoad: 2}, start); ok {
		t.Errorf("chose %s with %d requests in flight", chosen.ID, chosen.InFlight)
	}
	balancer.SetRemoteInFlight(nil)
	if _, ok := balancer.Choose(replicas(1), Criteria{Zone: "near", MaxLoad: 2}, start); !ok {
		t.Error("r0 is not chosen although nothing is reported any more")
	}
	balancer.Prune(nil)
	if len(balancer.loads) > 2 {
		t.Errorf("%d loads are kept", len(balancer.loads))
	}
}

// TestQuietestReplicaIsChosen covers requests that may end their replica: distance and preference do not count.
func TestQuietestReplicaIsChosen(t *testing.T) {
	balancer := newBalancer()
	near := Candidate{Incarnation: topology.Incarnation{ID: "near"}, Zone: "near", Slots: 400}
	far := Candidate{Incarnation: topology.Incarnation{ID: "far"}, Zone: "far", Slots: 400}
	_, _ = balancer.Choose([]Candidate{near}, Criteria{Zone: "near"}, start)
	for quietest, want := range map[bool]string{false: "near", true: "far"} {
		chosen, _ := balancer.Choose([]Candidate{near, far}, Criteria{Zone: "near", DaemonIndex: 1, Quietest: quietest}, start)
		if chosen.ID != want {
			t.Errorf("quietest %t: chose %s, want %s", quietest, chosen.ID, want)
		}
		balancer.Withdraw(chosen, Criteria{})
	}
}

// TestLeavingReleaseIsChosenLast covers streams that should not begin at a release that leaves: its replicas get those for which the
// others have no room, and requests without that wish as before.
func TestLeavingReleaseIsChosenLast(t *testing.T) {
	candidates := replicas(3)
	candidates[0].Release, candidates[1].Release, candidates[2].Release = "v1", "v1", "v2"
	for _, c := range []struct {
		name                 string
		leaving              []string
		exclude              []topology.Incarnation
		streams, least, most int
	}{
		{"no release leaves", nil, nil, 30, 8, 12},
		{"the older one leaves", []string{"v1"}, nil, 12, 12, 12},
		{"the newer one has most slots taken", []string{"v1"}, nil, 24, 12, 14},
		{"both leave", []string{"v1", "v2"}, nil, 30, 8, 12},
		{"the newer one failed before", []string{"v1"}, []topology.Incarnation{candidates[2].Incarnation}, 30, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			balancer, newer := newBalancer(), 0
			for range c.streams {
				chosen, _ := balancer.Choose(candidates, Criteria{Zone: "near", Leaving: c.leaving, Exclude: c.exclude, MaxLoad: 2}, start)
				if chosen.Release == "v2" {
					newer++
				}
			}
			if newer < c.least || newer > c.most {
				t.Errorf("%d of %d streams went to the newer release, want %d to %d", newer, c.streams, c.least, c.most)
			}
		})
	}
}
