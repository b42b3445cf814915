package directory

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/topology"
)

var (
	testEngine = topology.Incarnation{ID: "e", Started: 1}
	testKey    = demand.Key{Service: "s", Model: "m"}
)

func holding(models ...string) topology.Holding {
	var result topology.Holding
	for _, model := range models {
		result.Models = append(result.Models, topology.LoadedModel{Model: model})
	}
	return result
}

func newDirectory() (*Directory, *testingclock.FakePassiveClock) {
	clk := testingclock.NewFakePassiveClock(time.Unix(1000, 0))
	return New(clk), clk
}

func replicaWith(at time.Time, models ...string) []topology.Replica {
	return []topology.Replica{{Incarnation: testEngine, Service: "s", Holding: holding(models...), ReceivedAt: at}}
}

func TestAnnouncementOverridesOlderReplicaRow(t *testing.T) {
	directory, clk := newDirectory()
	directory.SetReplicas(replicaWith(clk.Now()))
	changed := directory.Changed()
	directory.Apply(Announcement{Fence: 1, Revision: 1, Placements: []Placement{{Incarnation: testEngine, Holding: holding("m")}}})
	if len(directory.Holders(testKey)) != 1 {
		t.Error("the announced model has no holder")
	}
	select {
	case <-changed:
	default:
		t.Error("the channel of Changed was not closed")
	}
	clk.SetTime(clk.Now().Add(time.Minute))
	directory.SetReplicas(replicaWith(clk.Now()))
	if len(directory.Holders(testKey)) != 0 {
		t.Error("an unconfirmed announcement overrides a newer row")
	}
}

func TestChangesApplyToKnownRevisionOnly(t *testing.T) {
	directory, clk := newDirectory()
	directory.SetReplicas(replicaWith(clk.Now()))
	directory.Apply(Announcement{Fence: 1, Revision: 4, Placements: []Placement{{Incarnation: testEngine, Holding: holding("m")}}})
	for _, test := range []struct {
		next Announcement
		want bool
	}{
		{Announcement{Fence: 1, Revision: 4}, false},
		{Announcement{Fence: 1, Revision: 9, Since: 6}, false},
		{Announcement{Fence: 2, Revision: 1, Since: 1}, false},
		{Announcement{Fence: 1, Revision: 5, Since: 4}, true},
		{Announcement{Fence: 0, Revision: 99}, false},
	} {
		if got := directory.Apply(test.next); got != test.want {
			t.Errorf("announcement %+v applied = %t", test.next, got)
		}
	}
	if len(directory.Holders(testKey)) != 1 {
		t.Error("changes removed an unchanged placement")
	}
}

func TestReplicaMarkedAbsentIsSkippedTemporarily(t *testing.T) {
	directory, clk := newDirectory()
	directory.SetReplicas(replicaWith(clk.Now(), "m"))
	directory.MarkAbsent(demand.ReplicaKey{Incarnation: testEngine, Key: testKey})
	if len(directory.Holders(testKey)) != 0 {
		t.Error("the replica is still listed")
	}
	clk.SetTime(clk.Now().Add(absenceTimeout))
	if len(directory.Holders(testKey)) != 1 {
		t.Error("the replica is not listed again")
	}
}

func TestHoldersMatchAdapter(t *testing.T) {
	directory, clk := newDirectory()
	replicas := replicaWith(clk.Now(), "m")
	replicas[0].Holding.Models[0].Adapters = []string{"a1"}
	directory.SetReplicas(replicas)
	for adapter, want := range map[string]int{"": 1, "a1": 1, "a2": 0} {
		if got := len(directory.Holders(demand.Key{Service: "s", Model: "m", Adapter: adapter})); got != want {
			t.Errorf("adapter %q has %d holders", adapter, got)
		}
	}
}

// TestIncrementalPlacementsMatchFullAnnouncement checks that lists to which changes are applied one by one
// equal those of a full announcement.
func TestIncrementalPlacementsMatchFullAnnouncement(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const engines = 5
	var replicas []topology.Replica
	for index := range engines {
		replicas = append(replicas, topology.Replica{Incarnation: topology.Incarnation{ID: fmt.Sprintf("e%d", index)}, Service: "s"})
	}
	incremental, _ := newDirectory()
	incremental.SetReplicas(replicas)
	full := Announcement{Fence: 1, Revision: 1, Placements: make([]Placement, engines)}
	for index := range engines {
		full.Placements[index] = Placement{Incarnation: replicas[index].Incarnation, Holding: holding("m0")}
	}
	incremental.Apply(full)
	for range 200 {
		full.Revision++
		at := random.IntN(engines)
		full.Placements[at] = Placement{Incarnation: replicas[at].Incarnation, Revision: full.Revision}
		for model := range 4 {
			if random.IntN(2) == 0 {
				loaded := &full.Placements[at].Holding.Models
				*loaded = append(*loaded, topology.LoadedModel{Model: fmt.Sprintf("m%d", model), Adapters: []string{fmt.Sprintf("a%d", random.IntN(2))}})
			}
		}
		incremental.Apply(full.ChangesSince(1, full.Revision-1))
		rebuilt, _ := newDirectory()
		rebuilt.SetReplicas(replicas)
		rebuilt.Apply(full)
		for model := range 4 {
			for _, adapter := range []string{"", "a0", "a1"} {
				key := demand.Key{Service: "s", Model: fmt.Sprintf("m%d", model), Adapter: adapter}
				if got, want := holderNames(incremental, key), holderNames(rebuilt, key); !slices.Equal(got, want) {
					t.Fatalf("revision %d: %+v is held by %v, want %v", full.Revision, key, got, want)
				}
			}
		}
	}
}

// holderNames returns the identifiers of the holders in order.
func holderNames(directory *Directory, key demand.Key) []string {
	var names []string
	for _, holder := range directory.Holders(key) {
		names = append(names, holder.ID)
	}
	slices.Sort(names)
	return names
}
