package release

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/internal/platformfake"
)

// startFollower starts the follower and returns a function that stops it.
func startFollower(t *testing.T, follower *Follower) context.CancelFunc {
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = follower.Run(ctx) }()
	return cancel
}

// advanceTime advances the fake clock and waits until every goroutine is blocked.
func advanceTime(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// checkNumber checks that the number is in force, with a catalogue of one model for each note.
func checkNumber(t *testing.T, follower *Follower, number uint64) {
	t.Helper()
	inForce, known := follower.InForce()
	if !known || inForce.Number != number || inForce.Catalogue.Size().Models != int(number) {
		t.Errorf("in force is %d with %+v, known is %t, want %d", inForce.Number, inForce.Catalogue.Size(), known, number)
	}
}

// TestFollowerIsDisconnectedAndReconnected checks that a follower keeps its state while the platform is unavailable,
// reports the failures in its status, and catches up afterwards.
func TestFollowerIsDisconnectedAndReconnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		operator := ledgerOn(fake.Client())
		client := fake.Client()
		follower := followerOn(client)
		defer startFollower(t, follower)()
		advanceTime(time.Millisecond)
		checkNumber(t, follower, 0)
		changed := follower.Changed()
		accept(t, operator, 0, 2)
		advanceTime(2 * time.Second)
		checkNumber(t, follower, 2)
		select {
		case <-changed:
		default:
			t.Error("the channel of Changed was not closed")
		}
		client.SetPartitioned(true)
		accept(t, operator, 2, 3)
		advanceTime(time.Hour)
		checkNumber(t, follower, 2)
		if status := follower.Status(); status.Failures == 0 || !strings.Contains(status.LastError, datastore.ErrUnavailable.Error()) {
			t.Errorf("the status does not report the failures: %+v", status)
		}
		client.SetPartitioned(false)
		advanceTime(2 * time.Second)
		checkNumber(t, follower, 5)
		if status := follower.Status(); status.Failures != 0 || time.Since(status.Confirmed) > 2*time.Second {
			t.Errorf("the status still reports failures: %+v", status)
		}
	})
}

// TestFollowerReadsDifferencesOrOneSnapshot checks that a new follower reads one snapshot instead of all differences.
func TestFollowerReadsDifferencesOrOneSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		operator := ledgerOn(fake.Client())
		current := followerOn(fake.Client())
		defer startFollower(t, current)()
		for base := uint64(0); base < 3*SnapshotEvery+2; base++ {
			accept(t, operator, base, 1)
			advanceTime(2 * time.Second)
		}
		checkNumber(t, current, 3*SnapshotEvery+2)
		before := fake.Counts()
		fresh := followerOn(fake.Client())
		defer startFollower(t, fresh)()
		advanceTime(time.Millisecond)
		checkNumber(t, fresh, 3*SnapshotEvery+2)
		if got := fake.Counts().Sub(before); got.Gets != 3 {
			t.Errorf("a new follower read %d objects, want a snapshot and two differences", got.Gets)
		}
	})
}

// TestFollowerSurvivesDamagedObjects checks that a follower keeps its state if the object of a note is missing or
// altered, and then advances through a peer.
func TestFollowerSurvivesDamagedObjects(t *testing.T) {
	for _, damage := range []struct {
		reason string
		cause  func(fake *platformfake.Platform, object string)
	}{
		{"is missing", func(fake *platformfake.Platform, object string) { fake.DeleteObject(object) }},
		{"differs from its hash", func(fake *platformfake.Platform, object string) { fake.ReplaceObject(object, []byte("{}")) }},
	} {
		synctest.Test(t, func(t *testing.T) {
			fake := newPlatform(1)
			operator := ledgerOn(fake.Client())
			client := fake.Client()
			follower := followerOn(client)
			defer startFollower(t, follower)()
			accept(t, operator, 0, SnapshotEvery-3)
			advanceTime(2 * time.Second)
			peer := followerOn(fake.Client())
			accept(t, operator, SnapshotEvery-3, 1)
			peer.pollPlatform(t.Context())
			damaged, err := operator.History(t.Context(), 1)
			if err != nil {
				t.Fatal(err)
			}
			damage.cause(fake, damaged[0].Body)
			advanceTime(5 * time.Second)
			checkNumber(t, follower, SnapshotEvery-3)
			if status := follower.Status(); !strings.Contains(status.LastError, damage.reason) {
				t.Errorf("the status does not report the damage: %+v", status)
			}
			follower.Offer(SnapshotEvery-2, peer)
			advanceTime(time.Second)
			checkNumber(t, follower, SnapshotEvery-2)
		})
	}
}

// TestNewFollowerWithoutPlatformUsesHighestOffer checks that a follower without a state does not use the first offer,
// but the highest one at the next failed poll of the platform.
func TestNewFollowerWithoutPlatformUsesHighestOffer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		operator := ledgerOn(fake.Client())
		peers := make([]*Follower, 3)
		clients := make([]*platformfake.Client, 3)
		for i := range peers {
			clients[i] = fake.Client()
			peers[i] = followerOn(clients[i])
			defer startFollower(t, peers[i])()
			accept(t, operator, uint64(40*i), 40)
			advanceTime(3 * time.Second)
			clients[i].SetPartitioned(true)
		}
		client := fake.Client()
		client.SetPartitioned(true)
		fresh := followerOn(client)
		defer startFollower(t, fresh)()
		advanceTime(time.Minute)
		if _, known := fresh.InForce(); known {
			t.Fatal("a follower without platform and offers has a state")
		}
		for _, i := range []int{1, 2, 0} {
			fresh.Offer(uint64(40*(i+1)), encodedSource(peers[i]))
			advanceTime(time.Millisecond)
			if _, known := fresh.InForce(); known {
				t.Error("the follower did not wait for the offers of further peers")
			}
		}
		advanceTime(2 * time.Second)
		checkNumber(t, fresh, 120)
		client.SetPartitioned(false)
		accept(t, operator, 120, 1)
		advanceTime(2 * time.Second)
		checkNumber(t, fresh, 121)
	})
}

// encodedSource returns a source that encodes and decodes the updates of another one, as between two processes.
func encodedSource(source Source) Source {
	return &sourceFunc{func(ctx context.Context, number uint64) (Update, error) {
		update, err := source.Since(ctx, number)
		if err != nil {
			return Update{}, err
		}
		content, err := json.Marshal(update)
		if err != nil {
			return Update{}, err
		}
		var received Update
		err = json.Unmarshal(content, &received)
		return received, err
	}}
}

// brokenSource is a peer whose updates do not match its offers.
type brokenSource struct {
	update Update
	err    error
}

func (source *brokenSource) Since(context.Context, uint64) (Update, error) {
	return source.update, source.err
}

// TestFollowerRejectsInvalidUpdates checks that updates which fail, are too old or cannot be applied leave the state
// unchanged.
func TestFollowerRejectsInvalidUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := invariant.Violations()
		fake := newPlatform(1)
		operator := ledgerOn(fake.Client())
		client := fake.Client()
		follower := followerOn(client)
		defer startFollower(t, follower)()
		accept(t, operator, 0, 3)
		advanceTime(2 * time.Second)
		client.SetPartitioned(true)
		for _, source := range []*brokenSource{
			{err: errors.New("gone")},
			{update: Update{Number: 2}},
			{update: Update{Number: 9}},
			{update: Update{Number: 2, Whole: []byte("{}"), WholeNumber: 2}},
			{update: Update{Number: 9, Whole: []byte("{"), WholeNumber: 9}},
			{update: Update{Number: 5, Differences: []Difference{{Number: 5, Body: []byte("{}")}}}},
			{update: Update{Number: 4, Differences: []Difference{{Number: 4, Body: []byte("x")}}}},
		} {
			follower.Offer(9, source)
			advanceTime(3 * time.Second)
			checkNumber(t, follower, 3)
		}
		if invariant.Violations() != broken {
			t.Error("an invariant was broken")
		}
	})
}

// TestUnreachablePeerDoesNotHideAnother guards against a follower that stays behind because it only tries peers that
// do not respond, although a reachable peer offers a newer state.
func TestUnreachablePeerDoesNotHideAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		operator := ledgerOn(fake.Client())
		peer := followerOn(fake.Client())
		defer startFollower(t, peer)()
		client := fake.Client()
		follower := followerOn(client)
		defer startFollower(t, follower)()
		advanceTime(time.Second)
		client.SetPartitioned(true)
		accept(t, operator, 0, 5)
		advanceTime(2 * time.Second)
		block := func(ctx context.Context, _ uint64) (Update, error) {
			<-ctx.Done()
			return Update{}, ctx.Err()
		}
		ahead, equal := &sourceFunc{block}, &sourceFunc{block}
		for range 20 {
			follower.Offer(6, ahead)
			follower.Offer(5, equal)
			follower.Offer(5, peer)
			advanceTime(time.Second)
		}
		checkNumber(t, follower, 5)
	})
}

// TestFollowerNumberNeverDecreases covers a platform that was restored to an earlier note.
func TestFollowerNumberNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		broken := invariant.Violations()
		fake := newPlatform(1)
		ahead := fake.Client()
		follower := followerOn(ahead)
		accept(t, ledgerOn(ahead), 0, 3)
		follower.pollPlatform(t.Context())
		checkNumber(t, follower, 3)
		restored := fake.Client()
		follower.tables = staleTables{restored, 2}
		follower.pollPlatform(t.Context())
		checkNumber(t, follower, 3)
		if invariant.Violations() != broken {
			t.Error("a platform that was restored to an earlier note broke an invariant of the daemon")
		}
	})
}

// staleTables is a table service that was restored to an earlier note.
type staleTables struct {
	datastore.Tables
	number uint64
}

func (tables staleTables) Read(ctx context.Context, _ datastore.Key) (datastore.Row, error) {
	return tables.Tables.Read(ctx, historyKey(tables.number))
}
