package front

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/quarantine"
)

// fakeStore is an in-memory store of versioned rows. Its next calls fail with the listed failures in turn; a
// commit that fails with datastore.ErrUnclear is applied nevertheless.
type fakeStore struct {
	rows     map[datastore.Key]datastore.Row
	version  datastore.Version
	failures []error
}

func (store *fakeStore) nextFailure() error {
	if len(store.failures) == 0 {
		return nil
	}
	failure := store.failures[0]
	store.failures = store.failures[1:]
	return failure
}

func (store *fakeStore) Read(_ context.Context, key datastore.Key) (datastore.Row, error) {
	if failure := store.nextFailure(); failure != nil {
		return datastore.Row{}, failure
	}
	row, ok := store.rows[key]
	if !ok {
		return datastore.Row{}, datastore.ErrNotFound
	}
	return row, nil
}

func (store *fakeStore) Commit(_ context.Context, writes []datastore.Write) ([]datastore.Version, error) {
	failure := store.nextFailure()
	if failure != nil && failure != datastore.ErrUnclear {
		return nil, failure
	}
	store.version++
	for _, write := range writes {
		if write.Check && store.rows[write.Key].Version != write.IfVersion {
			return nil, datastore.ErrConflict
		}
		if write.Delete {
			delete(store.rows, write.Key)
			continue
		}
		store.rows[write.Key] = datastore.Row{Key: write.Key, Version: store.version, Value: write.Value}
	}
	return nil, failure
}

// newDaemonWithCrashes returns a daemon on the store that counted the crashes of the replicas against request
// 1.
func newDaemonWithCrashes(store *fakeStore, replicas ...int) *Daemon {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	daemon.rowStore = store
	for _, replica := range replicas {
		daemon.suspects.ConnectionLost(quarantine.Causes{Request: 1}, quarantine.Crash{Upstream: fmt.Sprint(replica), BootID: "1"}, daemon.clock.Now())
	}
	return daemon
}

// TestSuspectRowSurvivesDaemonRestarts covers a request that crashed replicas at two daemons that do not
// exchange greetings: a daemon that starts after both ended must reject it.
func TestSuspectRowSurvivesDaemonRestarts(t *testing.T) {
	for name, failures := range map[string][]error{
		"store answers":     nil,
		"store unavailable": {datastore.ErrUnavailable, nil, datastore.ErrUnavailable},
		"response lost":     {nil, datastore.ErrUnclear, nil, datastore.ErrUnclear},
		"concurrent write":  {nil, datastore.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[datastore.Key]datastore.Row{}, failures: failures}
			for _, daemon := range []*Daemon{newDaemonWithCrashes(store, 1, 2), newDaemonWithCrashes(store, 2, 3)} {
				pending := map[uint64]bool{1: true}
				for range 5 {
					daemon.recordPending(t.Context(), pending)
				}
				if len(pending) > 0 {
					t.Fatal("suspects are still pending")
				}
			}
			if len(store.rows) != 1 {
				t.Fatalf("store has %d rows, want 1", len(store.rows))
			}
			restarted := newDaemonWithCrashes(store)
			for _, row := range store.rows {
				suspect, err := decodeSuspect(row, restarted.clock.Now())
				if err != nil {
					t.Fatal(err)
				}
				restarted.importSuspects([]quarantine.Suspect{suspect}, "Store")
			}
			if remaining, refused := restarted.suspects.Refused(1, restarted.clock.Now()); !refused || remaining < quarantine.Retention-time.Second {
				t.Errorf("refused = %t for %v, want true for the retention time", refused, remaining)
			}
		})
	}
}

// TestSuspectRowKeepsItsLists checks that the row of a suspect holds each list of its crashes.
func TestSuspectRowKeepsItsLists(t *testing.T) {
	now := time.Unix(1000, 0)
	crash := func(boot string) []quarantine.Crash { return []quarantine.Crash{{Upstream: "r", BootID: boot}} }
	suspect := quarantine.Suspect{Kind: quarantine.PromptPart, Fingerprint: 7, Crashes: crash("1"), Cleared: crash("2"), Retracted: crash("3")}
	value, err := json.Marshal(newSuspectContent(suspect, now))
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeSuspect(datastore.Row{Key: suspectKey(suspect), Value: value}, now)
	if err != nil || !got.SameCounts(&suspect) || got.Retracted[0] != suspect.Retracted[0] || got.Cleared[0] != suspect.Cleared[0] {
		t.Errorf("read %+v, %v", got, err)
	}
}

// TestSuspectRowKeepsUnknownFields guards against issue 48: a daemon that added a crash to the row of a suspect erased what a newer
// build had written there.
func TestSuspectRowKeepsUnknownFields(t *testing.T) {
	store := &fakeStore{rows: map[datastore.Key]datastore.Row{}, version: 1}
	key := suspectKey(quarantine.Suspect{Fingerprint: 1})
	written := `{"Crashes":[{"Upstream":"9","BootId":"1","Weight":2}],"Verdict":{"By":"b"}}`
	store.rows[key] = datastore.Row{Key: key, Version: 1, Value: []byte(written)}
	newDaemonWithCrashes(store, 1, 2).recordPending(t.Context(), map[uint64]bool{1: true})
	var content struct {
		Crashes []quarantine.Crash
		Verdict struct{ By string }
	}
	if err := json.Unmarshal(store.rows[key].Value, &content); err != nil || len(content.Crashes) != 3 || content.Verdict.By != "b" {
		t.Errorf("the row is %s, %v", store.rows[key].Value, err)
	}
}

func TestInvalidSuspectRowsAreRejected(t *testing.T) {
	for row, value := range map[string]string{"x": `{}`, "": `{}`, "1f": ``, "2f": `[]`, "3f": `{"Crashes":7}`, "10000000000000000": `{}`} {
		key := datastore.Key{Table: suspectTable, Row: row}
		if suspect, err := decodeSuspect(datastore.Row{Key: key, Value: []byte(value)}, time.Now()); err == nil {
			t.Errorf("row %q with value %q is decoded as %+v", row, value, suspect)
		}
	}
}

// TestExpiredRowsAreRemoved covers rows that have not changed for the retention time.
func TestExpiredRowsAreRemoved(t *testing.T) {
	store := &fakeStore{rows: map[datastore.Key]datastore.Row{}}
	daemon := newDaemonWithCrashes(store, 1, 2)
	daemon.recordPending(t.Context(), map[uint64]bool{1: true})
	for key, row := range store.rows {
		daemon.suspectRows.track(key.Row, row.Version, daemon.clock.Now())
	}
	daemon.removeExpiredRows(t.Context())
	if len(store.rows) != 1 {
		t.Fatal("a row that has not expired was removed")
	}
	for row, tracked := range daemon.suspectRows.rows {
		tracked.changed = tracked.changed.Add(-quarantine.Retention)
		daemon.suspectRows.rows[row] = tracked
	}
	daemon.removeExpiredRows(t.Context())
	if len(store.rows) != 0 || daemon.suspectRows.count() != 0 {
		t.Errorf("%d rows are in the store and %d tracked, want none", len(store.rows), daemon.suspectRows.count())
	}
}

// TestSuspectsAreRecordedAgainAfterARestore guards against issue 37: refused requests and parts that a store lost when it came
// back from an older copy were recorded by nobody again. Only the first daemon by name does so.
func TestSuspectsAreRecordedAgainAfterARestore(t *testing.T) {
	// Requests 1 and 2 and part 9 have three crashes, the others one.
	for index, want := range map[int64]int{0: 3, 1: 0} {
		store := &fakeStore{rows: map[datastore.Key]datastore.Row{}}
		daemon := newDaemonWithCrashes(store, 1, 2, 3)
		daemon.daemonIndex.Store(index)
		for age := 3; age > 0; age-- {
			causes := quarantine.Causes{Request: 2, Parts: []uint64{9}}
			seen := daemon.clock.Now().Add(-time.Duration(age) * time.Second)
			daemon.suspects.ConnectionLost(causes, quarantine.Crash{Upstream: fmt.Sprint(age), BootID: "2"}, seen)
		}
		daemon.suspects.ConnectionLost(quarantine.Causes{Request: 3, Parts: []uint64{10}}, quarantine.Crash{Upstream: "4"}, daemon.clock.Now())
		_ = daemon.suspects.Unrecorded()
		daemon.recordSuspectsAgain()
		pending := map[uint64]bool{}
		for _, suspect := range daemon.suspects.Unrecorded() {
			pending[suspect.Fingerprint] = true
		}
		daemon.recordPending(t.Context(), pending)
		if len(store.rows) != want {
			t.Errorf("daemon %d recorded %d suspects, want %d", index, len(store.rows), want)
		}
	}
}
