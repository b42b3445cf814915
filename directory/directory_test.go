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
	engine = topology.Incarnation{ID: "e", Started: 1}
	key    = demand.Key{Service: "s", Model: "m"}
)

func holding(models ...string) topology.Holding {
	var made topology.Holding
	for _, model := range models {
		made.Models = append(made.Models, topology.LoadedModel{Model: model})
	}
	return made
}

func newDirectory() (*Directory, *testingclock.FakePassiveClock) {
	clk := testingclock.NewFakePassiveClock(time.Unix(1000, 0))
	return New(clk), clk
}

func described(at time.Time, models ...string) []topology.Replica {
	return []topology.Replica{{Incarnation: engine, Service: "s", Holding: holding(models...), ReceivedAt: at}}
}

func TestAnnouncementGoesBeforeAnOlderDescription(t *testing.T) {
	directory, clk := newDirectory()
	directory.SetReplicas(described(clk.Now()))
	changed := directory.Changed()
	directory.Announce(Announcement{Fence: 1, Revision: 1, Placements: []Placement{{Incarnation: engine, Holding: holding("m")}}})
	if len(directory.Holders(key)) != 1 {
		t.Error("the announced model has no holder")
	}
	select {
	case <-changed:
	default:
		t.Error("who waits was not woken")
	}
	clk.SetTime(clk.Now().Add(time.Minute))
	directory.SetReplicas(described(clk.Now()))
	if len(directory.Holders(key)) != 0 {
		t.Error("an old announcement goes before a new description, though nobody confirms it")
	}
}

func TestChangesFollowTheRevisionThatIsKnown(t *testing.T) {
	directory, clk := newDirectory()
	directory.SetReplicas(described(clk.Now()))
	directory.Announce(Announcement{Fence: 1, Revision: 4, Placements: []Placement{{Incarnation: engine, Holding: holding("m")}}})
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
		if got := directory.Announce(test.next); got != test.want {
			t.Errorf("%+v taken %t", test.next, got)
		}
	}
	if len(directory.Holders(key)) != 1 {
		t.Error("changes dropped what did not change")
	}
}

func TestReplicaThatLacksTheModelRests(t *testing.T) {
	directory, clk := newDirectory()
	directory.SetReplicas(described(clk.Now(), "m"))
	directory.Absent(demand.ReplicaKey{Incarnation: engine, Key: key})
	if len(directory.Holders(key)) != 0 {
		t.Error("the replica is still offered")
	}
	clk.SetTime(clk.Now().Add(absentFor))
	if len(directory.Holders(key)) != 1 {
		t.Error("the replica is not offered again")
	}
}

func TestAdapterNeedsItsOwnHolder(t *testing.T) {
	directory, clk := newDirectory()
	replicas := described(clk.Now(), "m")
	replicas[0].Holding.Models[0].Adapters = []string{"a1"}
	directory.SetReplicas(replicas)
	for adapter, want := range map[string]int{"": 1, "a1": 1, "a2": 0} {
		if got := len(directory.Holders(demand.Key{Service: "s", Model: "m", Adapter: adapter})); got != want {
			t.Errorf("adapter %q has %d holders", adapter, got)
		}
	}
}

// TestChangedPlacementsAreListedAsWholeOnes covers the changes of a busy hour: lists that follow changes one by one
// are those of a whole announcement.
func TestChangedPlacementsAreListedAsWholeOnes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const engines = 5
	var replicas []topology.Replica
	for index := range engines {
		replicas = append(replicas, topology.Replica{Incarnation: topology.Incarnation{ID: fmt.Sprintf("e%d", index)}, Service: "s"})
	}
	followed, _ := newDirectory()
	followed.SetReplicas(replicas)
	whole := Announcement{Fence: 1, Revision: 1, Placements: make([]Placement, engines)}
	for index := range engines {
		whole.Placements[index] = Placement{Incarnation: replicas[index].Incarnation, Holding: holding("m0")}
	}
	followed.Announce(whole)
	for range 200 {
		whole.Revision++
		at := random.IntN(engines)
		whole.Placements[at] = Placement{Incarnation: replicas[at].Incarnation, Revision: whole.Revision}
		for model := range 4 {
			if random.IntN(2) == 0 {
				loaded := &whole.Placements[at].Holding.Models
				*loaded = append(*loaded, topology.LoadedModel{Model: fmt.Sprintf("m%d", model), Adapters: []string{fmt.Sprintf("a%d", random.IntN(2))}})
			}
		}
		followed.Announce(whole.After(1, whole.Revision-1))
		fresh, _ := newDirectory()
		fresh.SetReplicas(replicas)
		fresh.Announce(whole)
		for model := range 4 {
			for _, adapter := range []string{"", "a0", "a1"} {
				key := demand.Key{Service: "s", Model: fmt.Sprintf("m%d", model), Adapter: adapter}
				if got, want := holderNames(followed, key), holderNames(fresh, key); !slices.Equal(got, want) {
					t.Fatalf("revision %d: %+v is at %v, want %v", whole.Revision, key, got, want)
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
