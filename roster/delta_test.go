package roster

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/topology"
)

// table is a table of replicas with one version counter.
type table struct {
	rows    map[string]Entry
	version datastore.Version
}

// change makes one random change and applies it to the roster that reads the table.
func (table *table) change(random *rand.Rand, reader *Roster, now time.Time) {
	table.version++
	id := fmt.Sprintf("r%d", random.IntN(6))
	if _, there := table.rows[id]; there && random.IntN(3) == 0 {
		delete(table.rows, id)
		reader.Remove(id, table.version, now)
		reader.Advance(table.version)
		return
	}
	next := Entry{Version: table.version, Replica: topology.Replica{
		Incarnation: topology.Incarnation{ID: id},
		Address:     fmt.Sprintf("10.0.0.%d:80", random.IntN(2)),
		Draining:    random.IntN(4) == 0,
		Holding:     topology.Holding{Orders: table.version.Number()},
	}}
	table.rows[id] = next
	reader.Put(next)
	reader.Advance(table.version)
}

// usableRoutes returns identifier and address of the usable replicas.
func usableRoutes(roster *Roster) []string {
	var all []string
	for _, replica := range roster.Usable() {
		all = append(all, replica.ID+" "+replica.Address)
	}
	return all
}

// TestFollowersMatchTheirReaders covers a data centre in which two daemons read the table for the others, one behind
// the other. A follower that received the newest version from either must have the same replicas as the reader.
func TestFollowersMatchTheirReaders(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	source := &table{rows: map[string]Entry{}}
	first, follower := New(), New()
	first.Replace(nil, 0, start)
	received := datastore.Version(0)
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
		delta, _ := reader.ChangesSince(received)
		follow(follower, delta, start)
		received = delta.Version
		if got, want := usableRoutes(follower), usableRoutes(first); !slices.Equal(got, want) {
			t.Fatalf("step %d: the follower has %v, the reader %v", step, got, want)
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

// follow applies a delta to the follower.
func follow(follower *Roster, delta Delta, now time.Time) {
	if delta.Full {
		follower.Replace(delta.Entries, delta.Version, now)
		return
	}
	for _, id := range delta.Removed {
		follower.Remove(id, delta.Version, now)
	}
	for _, entry := range delta.Entries {
		follower.Put(entry)
	}
	follower.Advance(delta.Version)
}

// TestHeartbeatsAreNotPropagated covers engines that repeat the description of what they hold.
func TestHeartbeatsAreNotPropagated(t *testing.T) {
	reader := New()
	reader.Replace([]Entry{entry("a", 1)}, 1, start)
	again := entry("a", 2)
	again.Replica.Holding.Models = []topology.LoadedModel{{Model: "m"}}
	if reader.Put(again) {
		t.Error("a change of the models that an engine holds is reported as a change of route")
	}
	if delta, _ := reader.ChangesSince(1); len(delta.Entries) != 0 {
		t.Errorf("propagated entries: %+v", delta.Entries)
	}
	again.Version, again.Replica.Draining = 3, true
	if !reader.Put(again) {
		t.Error("a replica that drains is not reported as changed")
	}
	if delta, _ := reader.ChangesSince(2); len(delta.Entries) != 1 {
		t.Errorf("propagated entries: %+v", delta.Entries)
	}
}

// TestMissingRowIsNotPropagated covers a row that expired in an outage. A daemon that keeps it for the grace period
// must not propagate it to others as present.
func TestMissingRowIsNotPropagated(t *testing.T) {
	reader := New()
	reader.Replace([]Entry{entry("a", 1), entry("b", 2)}, 2, start)
	reader.EndOutage(start)
	reader.Remove("a", 5, start)
	want(t, reader, "a", "b")
	for version, whole := range map[datastore.Version]bool{0: true, 2: false} {
		delta, _ := reader.ChangesSince(version)
		for _, entry := range delta.Entries {
			if entry.Replica.ID == "a" {
				t.Errorf("after version %d the missing row is propagated", version)
			}
		}
		if delta.Full != whole || (!whole && !slices.Equal(delta.Removed, []string{"a"})) {
			t.Errorf("changes since version %d: %+v", version, delta)
		}
	}
}

// TestCompactedRemovalsMakeTheDeltaWhole covers a follower that was disconnected while many replicas were removed.
func TestCompactedRemovalsMakeTheDeltaWhole(t *testing.T) {
	reader := New()
	reader.Replace(nil, 1, start)
	for index := range datastore.Version(maxRemovals + 10) {
		id := fmt.Sprintf("r%d", index)
		reader.Put(entry(id, 2*index+2))
		reader.Remove(id, 2*index+3, start)
	}
	if delta, _ := reader.ChangesSince(2); !delta.Full {
		t.Error("removals are missing from a delta that is not whole")
	}
	if delta, _ := reader.ChangesSince(2 * maxRemovals); delta.Full {
		t.Error("the delta is whole although all removals are listed")
	}
}
