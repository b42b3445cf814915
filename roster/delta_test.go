package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/topology"
)

// table is a table of replicas with one counter of changes.
type table struct {
	rows    map[string]Entry
	version uint64
}

// change makes one random change and applies it to the roster that reads the table.
func (table *table) change(random *rand.Rand, reader *Roster, now time.Time) {
	table.version++
	id := fmt.Sprintf("r%d", random.IntN(6))
	if _, there := table.rows[id]; there && random.IntN(3) == 0 {
		delete(table.rows, id)
		reader.Drop(id, table.version, now)
		reader.Advance(table.version)
		return
	}
	next := Entry{Version: table.version, Replica: topology.Replica{
		Incarnation: topology.Incarnation{ID: id},
		Address:     fmt.Sprintf("10.0.0.%d:80", random.IntN(2)),
		Draining:    random.IntN(4) == 0,
		Holding:     topology.Holding{Orders: table.version},
	}}
	table.rows[id] = next
	reader.Put(next)
	reader.Advance(table.version)
}

// routes returns what requests need of the usable replicas.
func routes(roster *Roster) []string {
	var all []string
	for _, replica := range roster.Usable() {
		all = append(all, replica.ID+" "+replica.Address)
	}
	return all
}

// TestFollowersOfReadersKnowTheSameReplicas covers a data centre in which two daemons read the table for the others, one
// behind the other: whoever answers, a follower that was told the newest version knows what that reader knows.
func TestFollowersOfReadersKnowTheSameReplicas(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	source := &table{rows: map[string]Entry{}}
	first, follower := New(), New()
	first.Replace(nil, 0, start)
	told := uint64(0)
	for step := range 3000 {
		source.change(random, first, start)
		if random.IntN(3) > 0 {
			continue
		}
		reader := first
		if random.IntN(4) == 0 {
			reader = New()
			reader.Replace(slices.Collect(values(source.rows)), source.version, start)
		}
		delta, _ := reader.After(told)
		follow(follower, delta, start)
		told = delta.Version
		if got, want := routes(follower), routes(first); !slices.Equal(got, want) {
			t.Fatalf("step %d: the follower knows %v, the reader %v", step, got, want)
		}
	}
}

// values returns the values of a map.
func values(rows map[string]Entry) func(yield func(Entry) bool) {
	return func(yield func(Entry) bool) {
		for _, entry := range rows {
			if !yield(entry) {
				return
			}
		}
	}
}

// follow applies what leads on.
func follow(follower *Roster, delta Delta, now time.Time) {
	if delta.Whole {
		follower.Replace(delta.Entries, delta.Version, now)
		return
	}
	for _, id := range delta.Removed {
		follower.Drop(id, delta.Version, now)
	}
	for _, entry := range delta.Entries {
		follower.Put(entry)
	}
	follower.Advance(delta.Version)
}

// TestSignsOfLifeAreNotPassedOn covers engines that describe what they hold again and again.
func TestSignsOfLifeAreNotPassedOn(t *testing.T) {
	reader := New()
	reader.Replace([]Entry{entry("a", 1)}, 1, start)
	again := entry("a", 2)
	again.Replica.Holding.Models = []topology.LoadedModel{{Model: "m"}}
	if reader.Put(again) {
		t.Error("a change of what an engine holds counts as news")
	}
	if delta, _ := reader.After(1); len(delta.Entries) != 0 {
		t.Errorf("passed on are %+v", delta.Entries)
	}
	again.Version, again.Replica.Draining = 3, true
	if !reader.Put(again) {
		t.Error("a replica that drains is no news")
	}
	if delta, _ := reader.After(2); len(delta.Entries) != 1 {
		t.Errorf("passed on are %+v", delta.Entries)
	}
}

// TestMissingRowIsNotPassedOn covers a row that lapsed in an outage: a daemon that keeps it for the grace time must not
// make others believe that it is there.
func TestMissingRowIsNotPassedOn(t *testing.T) {
	reader := New()
	reader.Replace([]Entry{entry("a", 1), entry("b", 2)}, 2, start)
	reader.Regain(start)
	reader.Drop("a", 5, start)
	want(t, reader, "a", "b")
	for version, whole := range map[uint64]bool{0: true, 2: false} {
		delta, _ := reader.After(version)
		for _, entry := range delta.Entries {
			if entry.Replica.ID == "a" {
				t.Errorf("after version %d the missing row is passed on", version)
			}
		}
		if delta.Whole != whole || (!whole && !slices.Equal(delta.Removed, []string{"a"})) {
			t.Errorf("after version %d comes %+v", version, delta)
		}
	}
}

// TestForgottenRemovalsMakeTheDeltaWhole covers a follower that was cut off while many replicas left.
func TestForgottenRemovalsMakeTheDeltaWhole(t *testing.T) {
	reader := New()
	reader.Replace(nil, 1, start)
	for index := range uint64(mostRemoved + 10) {
		id := fmt.Sprintf("r%d", index)
		reader.Put(entry(id, 2*index+2))
		reader.Drop(id, 2*index+3, start)
	}
	if delta, _ := reader.After(2); !delta.Whole {
		t.Error("removals are missing in a delta that is not whole")
	}
	if delta, _ := reader.After(2 * mostRemoved); delta.Whole {
		t.Error("the delta is whole though all removals are known")
	}
}
