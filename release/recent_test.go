package release

import (
	"testing"
	"testing/synctest"
	"time"
)

// checkUpdate requests the update since a number, checks whether it holds the whole catalogue and how many
// differences, and checks that it leads from the state at that number to the state in force.
func checkUpdate(t *testing.T, ledger *Ledger, follower *Follower, number uint64, whole bool, differences int) {
	t.Helper()
	update, err := follower.Since(t.Context(), number)
	if err != nil {
		t.Fatal(err)
	}
	if (len(update.Whole) > 0) != whole || len(update.Differences) != differences {
		t.Errorf("since %d: whole is %t with %d differences, want %t with %d", number, len(update.Whole) > 0, len(update.Differences), whole, differences)
	}
	before, err := ledger.At(t.Context(), number)
	if err != nil {
		t.Fatal(err)
	}
	after, err := before.applyUpdate(update)
	inForce, _ := follower.InForce()
	if err != nil || after.Number != inForce.Number || after.Catalogue.Size() != inForce.Catalogue.Size() {
		t.Errorf("since %d: the update leads to %d, %v", number, after.Number, err)
	}
}

func TestFollowerServesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		operator := ledgerOn(fake.Client())
		client := fake.Client()
		follower := followerOn(client)
		defer startFollower(t, follower)()
		const first = maxRecentDifferences + 6
		for base := range uint64(first) {
			accept(t, operator, base, 1)
			advanceTime(2 * time.Second)
		}
		checkUpdate(t, operator, follower, first, false, 0)
		checkUpdate(t, operator, follower, first-1, false, 1)
		checkUpdate(t, operator, follower, first-maxRecentDifferences, false, maxRecentDifferences)
		checkUpdate(t, operator, follower, first-maxRecentDifferences-1, true, 0)
		client.SetPartitioned(true)
		accept(t, operator, first, 2*SnapshotEvery)
		client.SetPartitioned(false)
		advanceTime(2 * time.Second)
		const now = first + 2*SnapshotEvery
		newest := now % SnapshotEvery
		checkUpdate(t, operator, follower, now-uint64(newest), false, newest)
		checkUpdate(t, operator, follower, now-uint64(newest)-1, true, 0)
		checkUpdate(t, operator, follower, first-1, true, 0)
	})
}

func TestInterval(t *testing.T) {
	for daemons, want := range map[int]time.Duration{
		1: time.Second, 4: time.Second, 100: time.Second, 360: 3600 * time.Millisecond, 500: 5 * time.Second, 5_000: 5 * time.Second,
	} {
		settings := FollowerSettings{Daemons: func() int { return daemons }}
		if got := settings.interval(); got != want {
			t.Errorf("%d daemons read every %v, want %v", daemons, got, want)
		}
	}
}
