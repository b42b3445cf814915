package roster

import (
	"slices"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
)

// at returns a version of the era.
func at(era, number uint64) datastore.Version { return datastore.NewVersion(era, number) }

// incarnation returns the entry of a replica that started at the time, in Unix ms.
func incarnation(id string, started int64, version datastore.Version, draining bool) Entry {
	described := entry(id, version)
	described.Replica.Started, described.Replica.Draining = started, draining
	return described
}

// TestRowsAfterTheStoreCameBackOlder guards against issue 37: rows of a store that came back from an older copy were ignored,
// since their numbers were below the known ones.
func TestRowsAfterTheStoreCameBackOlder(t *testing.T) {
	draining := func(version datastore.Version) Entry {
		drains := entry("a", version)
		drains.Replica.Draining = true
		return drains
	}
	cases := []struct {
		name  string
		after func(roster *Roster)
		want  []string
	}{
		{"a row with a lower number is taken", func(roster *Roster) {
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
			roster.Put(draining(at(2, 41)))
		}, []string{"b"}},
		{"a new row with a lower number is taken", func(roster *Roster) {
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
			roster.Put(entry("c", at(2, 41)))
		}, []string{"a", "b", "c"}},
		{"a removal with a lower number is taken", func(roster *Roster) {
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
			roster.Remove("a", at(2, 41), start)
		}, []string{"b"}},
		{"a replica that drained does not return", func(roster *Roster) {
			roster.Put(draining(at(1, 99)))
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
		}, []string{"b"}},
		{"a replica that was removed does not return", func(roster *Roster) {
			roster.Remove("a", at(1, 99), start)
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
		}, []string{"b"}},
		{"a replica that was removed writes its row again", func(roster *Roster) {
			roster.Remove("a", at(1, 99), start)
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
			roster.Put(entry("a", at(2, 41)))
		}, []string{"a", "b"}},
		{"a row that the copy lacks is kept for the grace period", func(roster *Roster) {
			roster.EndOutage(start)
			roster.Replace([]Entry{entry("a", at(2, 20))}, at(2, 40), start)
		}, []string{"a", "b"}},
		{"the row of an earlier incarnation does not replace the later one", func(roster *Roster) {
			roster.Put(incarnation("a", 7, at(1, 99), true))
			roster.EndOutage(start)
			roster.Replace([]Entry{incarnation("a", 3, at(2, 20), false), entry("b", at(2, 30))}, at(2, 40), start)
			roster.ExpireMissing(start.Add(RewriteTime - 1))
		}, []string{"b"}},
		{"it replaces the later one that does not write its row again", func(roster *Roster) {
			roster.Put(incarnation("a", 7, at(1, 99), true))
			roster.EndOutage(start)
			roster.Replace([]Entry{incarnation("a", 3, at(2, 20), false), entry("b", at(2, 30))}, at(2, 40), start)
			roster.ExpireMissing(start.Add(RewriteTime))
		}, []string{"a", "b"}},
		{"the later incarnation writes its row again", func(roster *Roster) {
			roster.Put(incarnation("a", 7, at(1, 99), false))
			roster.EndOutage(start)
			roster.Replace([]Entry{incarnation("a", 3, at(2, 20), false), entry("b", at(2, 30))}, at(2, 40), start)
			roster.Put(incarnation("a", 7, at(2, 41), false))
			roster.ExpireMissing(start.Add(RewriteTime))
			if _, known := roster.Find(incarnation("a", 7, 0, false).Replica.Incarnation); !known {
				roster.Remove("a", at(2, 99), start.Add(time.Hour))
			}
		}, []string{"a", "b"}},
		{"a late snapshot of the earlier era is ignored", func(roster *Roster) {
			roster.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
			roster.Replace([]Entry{entry("a", at(1, 99))}, at(1, 99), start)
		}, []string{"a", "b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			roster := New()
			roster.Replace([]Entry{entry("a", at(1, 80)), entry("b", at(1, 90))}, at(1, 95), start)
			c.after(roster)
			want(t, roster, c.want...)
		})
	}
}

// TestFollowersLearnOfTheNewEra checks that a daemon gets from one in the new era what changed there, also below the numbers
// that it knows.
func TestFollowersLearnOfTheNewEra(t *testing.T) {
	reader, follower := New(), New()
	rows := []Entry{entry("a", at(1, 80)), entry("b", at(1, 90))}
	reader.Replace(rows, at(1, 95), start)
	follower.Replace(rows, at(1, 95), start)
	reader.Replace([]Entry{entry("a", at(2, 20)), entry("b", at(2, 30))}, at(2, 40), start)
	drains := entry("b", at(2, 41))
	drains.Replica.Draining = true
	reader.Put(drains)
	reader.Put(entry("c", at(2, 42)))
	reader.Advance(at(2, 42))
	delta, _ := reader.ChangesSince(at(1, 95))
	follow(follower, delta, start)
	if got, want := usableRoutes(follower), usableRoutes(reader); !slices.Equal(got, want) {
		t.Errorf("the follower has %v, the reader %v", got, want)
	}
	if old, _ := follower.ChangesSince(at(2, 42)); len(old.Entries) > 0 || old.Full {
		t.Errorf("a daemon in the new era is led back by %+v", old)
	}
}
