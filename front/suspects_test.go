package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/quarantine"
)

// fakeStore is a store of single rows with versions. It fails the next calls in turn with the failures; a commit that fails
// with datastore.ErrUnclear is done all the same.
type fakeStore struct {
	rows     map[datastore.Key]datastore.Row
	version  uint64
	failures []error
}

func (shelf *fakeStore) nextFailure() error {
	if len(shelf.failures) == 0 {
		return nil
	}
	failure := shelf.failures[0]
	shelf.failures = shelf.failures[1:]
	return failure
}

func (shelf *fakeStore) Read(_ context.Context, key datastore.Key) (datastore.Row, error) {
	if failure := shelf.nextFailure(); failure != nil {
		return datastore.Row{}, failure
	}
	row, ok := shelf.rows[key]
	if !ok {
		return datastore.Row{}, datastore.ErrNotFound
	}
	return row, nil
}

func (shelf *fakeStore) Commit(_ context.Context, writes []datastore.Write) ([]uint64, error) {
	failure := shelf.nextFailure()
	if failure != nil && failure != datastore.ErrUnclear {
		return nil, failure
	}
	shelf.version++
	for _, write := range writes {
		if write.Check && shelf.rows[write.Key].Version != write.IfVersion {
			return nil, datastore.ErrConflict
		}
		if write.Delete {
			delete(shelf.rows, write.Key)
			continue
		}
		shelf.rows[write.Key] = datastore.Row{Key: write.Key, Version: shelf.version, Value: write.Value}
	}
	return nil, failure
}

// newDaemonWithCrashes returns a daemon over the store that saw the ends of the replicas under request 1.
func newDaemonWithCrashes(store *fakeStore, replicas ...int) *Daemon {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	daemon.rowStore = store
	for _, replica := range replicas {
		daemon.suspects.Broke(1, quarantine.Crash{Upstream: fmt.Sprint(replica), BootID: "1"}, daemon.clock.Now())
	}
	return daemon
}

// TestSuspectRowSurvivesDaemonRestarts covers a request that crashed replicas at two daemons which did not hear of each other, and a
// daemon that starts when both are gone.
func TestSuspectRowSurvivesDaemonRestarts(t *testing.T) {
	for name, failures := range map[string][]error{
		"store answers":      nil,
		"store turns away":   {datastore.ErrUnavailable, nil, datastore.ErrUnavailable},
		"answer is lost":     {nil, datastore.ErrUnclear, nil, datastore.ErrUnclear},
		"another was faster": {nil, datastore.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			store := &fakeStore{rows: map[datastore.Key]datastore.Row{}, failures: failures}
			for _, daemon := range []*Daemon{newDaemonWithCrashes(store, 1, 2), newDaemonWithCrashes(store, 2, 3)} {
				waiting := map[uint64]bool{1: true}
				for range 5 {
					daemon.recordPending(t.Context(), waiting)
				}
				if len(waiting) > 0 {
					t.Fatal("the suspect was not recorded")
				}
			}
			if len(store.rows) != 1 {
				t.Fatalf("%d rows", len(store.rows))
			}
			fresh := newDaemonWithCrashes(store)
			for _, row := range store.rows {
				suspect, err := decodeSuspect(row, fresh.clock.Now())
				if err != nil {
					t.Fatal(err)
				}
				fresh.importSuspects([]quarantine.Suspect{suspect}, "Store")
			}
			if left, refused := fresh.suspects.Refused(1, fresh.clock.Now()); !refused || left < quarantine.Retention-time.Second {
				t.Errorf("refused %v for %v", refused, left)
			}
		})
	}
}

func TestInvalidSuspectRowsAreRejected(t *testing.T) {
	for row, value := range map[string]string{"x": `{}`, "": `{}`, "1f": ``, "2f": `[]`, "3f": `{"Crashes":7}`, "10000000000000000": `{}`} {
		key := datastore.Key{Table: suspectTable, Row: row}
		if suspect, err := decodeSuspect(datastore.Row{Key: key, Value: []byte(value)}, time.Now()); err == nil {
			t.Errorf("row %q with %q is taken for %+v", row, value, suspect)
		}
	}
}

// TestExpiredRowsAreRemoved covers rows that did not change for as long as daemons remember.
func TestExpiredRowsAreRemoved(t *testing.T) {
	store := &fakeStore{rows: map[datastore.Key]datastore.Row{}}
	daemon := newDaemonWithCrashes(store, 1, 2)
	daemon.recordPending(t.Context(), map[uint64]bool{1: true})
	for key, row := range store.rows {
		daemon.trackRow(key.Row, row.Version)
	}
	daemon.removeExpiredRows(t.Context())
	if len(store.rows) != 1 {
		t.Fatal("a fresh record was removed")
	}
	for row, known := range daemon.suspectRows {
		known.changed = known.changed.Add(-quarantine.Retention)
		daemon.suspectRows[row] = known
	}
	daemon.removeExpiredRows(t.Context())
	if len(store.rows) != 0 || len(daemon.suspectRows) != 0 {
		t.Errorf("%d rows are left, %d are known", len(store.rows), len(daemon.suspectRows))
	}
}
