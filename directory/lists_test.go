package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/balance"
	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

// candidateNames returns the replicas of the candidates in order.
func candidateNames(candidates []balance.Candidate) []string {
	var all []string
	for _, candidate := range candidates {
		all = append(all, fmt.Sprint(candidate.ID, "/", candidate.Started, " ", candidate.Address))
	}
	slices.Sort(all)
	return all
}

// TestIncrementalListsMatchRebuild compares a directory to which random changes of the replica table are
// applied with one that is built anew after each change.
func TestIncrementalListsMatchRebuild(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	clk := testingclock.NewFakePassiveClock(time.Unix(1000, 0))
	incremental := New(clk)
	table := map[string]topology.Replica{}
	for step := range 2000 {
		clk.SetTime(clk.Now().Add(time.Millisecond))
		for range 1 + random.IntN(3) {
			changeRandomReplica(random, table, clk.Now())
		}
		var replicas []topology.Replica
		for _, replica := range table {
			replicas = append(replicas, replica)
		}
		retained := incremental.Replicas("p0")
		before := candidateNames(retained)
		incremental.SetReplicas(replicas)
		if !slices.Equal(candidateNames(retained), before) {
			t.Fatalf("step %d: a returned slice was modified", step)
		}
		rebuilt := New(clk)
		rebuilt.SetReplicas(replicas)
		for number := range 4 {
			service := fmt.Sprint("p", number%2)
			if got, want := candidateNames(incremental.Replicas(service)), candidateNames(rebuilt.Replicas(service)); !slices.Equal(got, want) {
				t.Fatalf("step %d: %s has %v, want %v", step, service, got, want)
			}
			key := demand.Key{Service: "p0", Model: fmt.Sprint("m", number)}
			if got, want := candidateNames(incremental.Holders(key)), candidateNames(rebuilt.Holders(key)); !slices.Equal(got, want) {
				t.Fatalf("step %d: %s is held by %v, want %v", step, key.Model, got, want)
			}
		}
		if incremental.HasReplicas() != rebuilt.HasReplicas() {
			t.Fatalf("step %d: HasReplicas = %t", step, incremental.HasReplicas())
		}
	}
}

// changeRandomReplica adds, changes or removes one replica.
func changeRandomReplica(random *rand.Rand, table map[string]topology.Replica, now time.Time) {
	id := fmt.Sprint("r", random.IntN(8))
	if random.IntN(4) == 0 {
		delete(table, id)
		return
	}
	replica := topology.Replica{
		Incarnation: topology.Incarnation{ID: id, Started: int64(random.IntN(2))},
		Service:     fmt.Sprint("p", random.IntN(2)), Address: fmt.Sprint("a", random.IntN(2)), Slots: 1, ReceivedAt: now,
	}
	for number := range 4 {
		if random.IntN(2) == 0 {
			replica.Holding.Models = append(replica.Holding.Models, topology.LoadedModel{Model: fmt.Sprint("m", number)})
		}
	}
	table[id] = replica
}

// BenchmarkSetReplicas measures the change of one row among 3,000.
func BenchmarkSetReplicas(b *testing.B) {
	clk := testingclock.NewFakePassiveClock(time.Unix(1000, 0))
	directory := New(clk)
	var replicas []topology.Replica
	for index := range 3000 {
		replicas = append(replicas, topology.Replica{
			Incarnation: topology.Incarnation{ID: fmt.Sprintf("i-%08x", index*7919)}, Service: "s", Slots: 48,
			Holding: topology.Holding{Models: []topology.LoadedModel{{Model: fmt.Sprint("m", index%185)}, {Model: fmt.Sprint("m", index%7)}}},
		})
	}
	b.ReportAllocs()
	for step := 0; b.Loop(); step++ {
		next := slices.Clone(replicas)
		next[step%3000].ReceivedAt = time.Unix(int64(2000+step), 0)
		directory.SetReplicas(next)
		replicas = next
	}
}
