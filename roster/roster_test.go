package roster

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/topology"
)

var start = time.Unix(1000, 0)

func entry(id string, version datastore.Version) Entry {
	return Entry{Replica: topology.Replica{Incarnation: topology.Incarnation{ID: id}, Service: "s"}, Version: version}
}

func usable(roster *Roster) []string {
	var ids []string
	for _, replica := range roster.Usable() {
		ids = append(ids, replica.ID)
	}
	return ids
}

func want(t *testing.T, roster *Roster, ids ...string) {
	t.Helper()
	if got := usable(roster); !slices.Equal(got, ids) {
		t.Errorf("usable replicas: %v, want %v", got, ids)
	}
}

func TestRemovedReplicaIsNotUsable(t *testing.T) {
	roster := New()
	roster.Replace([]Entry{entry("a", 1), entry("b", 2)}, 2, start)
	roster.Remove("a", 99, start)
	want(t, roster, "b")
}

func TestDrainingReplicaIsNotUsable(t *testing.T) {
	roster := New()
	roster.Replace([]Entry{entry("a", 1), entry("b", 2)}, 2, start)
	draining := entry("a", 3)
	draining.Replica.Draining = true
	roster.Put(draining)
	want(t, roster, "b")
	roster.Put(entry("a", 1))
	want(t, roster, "b")
}

// TestRowsThatExpiredInAnOutage covers rows that are missing when the table answers again, and are written again if
// their replicas are alive.
func TestRowsThatExpiredInAnOutage(t *testing.T) {
	roster := New()
	roster.Replace([]Entry{entry("a", 1), entry("b", 2)}, 2, start)
	roster.EndOutage(start)
	roster.Remove("a", 99, start)
	roster.Replace([]Entry{entry("c", 5)}, 5, start.Add(time.Millisecond))
	want(t, roster, "a", "b", "c")
	roster.Put(entry("a", 7))
	if roster.ExpireMissing(start.Add(GracePeriod / 2)) {
		t.Error("expired a replica within the grace period")
	}
	if !roster.ExpireMissing(start.Add(2 * GracePeriod)) {
		t.Error("expired no replica after the grace period")
	}
	want(t, roster, "a", "c")
	roster.Remove("a", 99, start.Add(3*GracePeriod))
	want(t, roster, "c")
}

func TestOlderSnapshotIsIgnored(t *testing.T) {
	roster := New()
	roster.Replace([]Entry{entry("a", 9)}, 9, start)
	roster.Replace([]Entry{entry("b", 2)}, 2, start)
	want(t, roster, "a")
	if version, known := roster.Version(); version != 9 || !known {
		t.Errorf("version %d, known %t", version, known)
	}
}

// TestReplicaRemovedRightAfterAnOutage covers a row that is removed after the table answered again. Its replica must
// be out of use soon after the removal, however late this daemon reads it.
func TestReplicaRemovedRightAfterAnOutage(t *testing.T) {
	roster := New()
	roster.Replace([]Entry{entry("a", 1), entry("b", 2)}, 2, start)
	roster.EndOutage(start)
	roster.Remove("a", 99, start.Add(GracePeriod-time.Millisecond))
	roster.ExpireMissing(start.Add(GracePeriod))
	want(t, roster, "b")
}
