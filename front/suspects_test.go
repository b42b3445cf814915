package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/quarantine"
)

// shelf is a store of single rows with versions. It fails the next calls in turn with the failures; a commit that fails
// with datastore.ErrUnclear is done all the same.
type shelf struct {
	rows     map[datastore.Key]datastore.Row
	version  uint64
	failures []error
}

func (shelf *shelf) next() error {
	if len(shelf.failures) == 0 {
		return nil
	}
	failure := shelf.failures[0]
	shelf.failures = shelf.failures[1:]
	return failure
}

func (shelf *shelf) Read(_ context.Context, key datastore.Key) (datastore.Row, error) {
	if failure := shelf.next(); failure != nil {
		return datastore.Row{}, failure
	}
	row, ok := shelf.rows[key]
	if !ok {
		return datastore.Row{}, datastore.ErrNotFound
	}
	return row, nil
}

func (shelf *shelf) Commit(_ context.Context, writes []datastore.Write) ([]uint64, error) {
	failure := shelf.next()
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

// suspicious returns a daemon over the store that saw the ends of the replicas under request 1.
func suspicious(store *shelf, replicas ...int) *Daemon {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	daemon.rows = store
	for _, replica := range replicas {
		daemon.suspects.ConnectionLost(1, quarantine.Crash{Upstream: fmt.Sprint(replica), BootID: "1"}, daemon.clock.Now())
	}
	return daemon
}

// TestRecordOutlivesItsDaemons covers a request that crashed replicas at two daemons which did not hear of each other, and a
// daemon that starts when both are gone.
func TestRecordOutlivesItsDaemons(t *testing.T) {
	for name, failures := range map[string][]error{
		"store answers":      nil,
		"store turns away":   {datastore.ErrUnavailable, nil, datastore.ErrUnavailable},
		"answer is lost":     {nil, datastore.ErrUnclear, nil, datastore.ErrUnclear},
		"another was faster": {nil, datastore.ErrConflict},
	} {
		t.Run(name, func(t *testing.T) {
			store := &shelf{rows: map[datastore.Key]datastore.Row{}, failures: failures}
			for _, daemon := range []*Daemon{suspicious(store, 1, 2), suspicious(store, 2, 3)} {
				waiting := map[uint64]bool{1: true}
				for range 5 {
					daemon.recordAll(t.Context(), waiting)
				}
				if len(waiting) > 0 {
					t.Fatal("the suspect was not recorded")
				}
			}
			if len(store.rows) != 1 {
				t.Fatalf("%d rows", len(store.rows))
			}
			fresh := suspicious(store)
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

func TestForeignRowsAreNoSuspects(t *testing.T) {
	for row, value := range map[string]string{"x": `{}`, "": `{}`, "1f": ``, "2f": `[]`, "3f": `{"Crashes":7}`, "10000000000000000": `{}`} {
		key := datastore.Key{Table: suspectTable, Row: row}
		if suspect, err := decodeSuspect(datastore.Row{Key: key, Value: []byte(value)}, time.Now()); err == nil {
			t.Errorf("row %q with %q is taken for %+v", row, value, suspect)
		}
	}
}

// TestOldRecordsAreRemoved covers rows that did not change for as long as daemons remember.
func TestOldRecordsAreRemoved(t *testing.T) {
	store := &shelf{rows: map[datastore.Key]datastore.Row{}}
	daemon := suspicious(store, 1, 2)
	daemon.recordAll(t.Context(), map[uint64]bool{1: true})
	for key, row := range store.rows {
		daemon.noteRecord(key.Row, row.Version)
	}
	daemon.sweepRecords(t.Context())
	if len(store.rows) != 1 {
		t.Fatal("a fresh record was removed")
	}
	for row, known := range daemon.records {
		known.seen = known.seen.Add(-quarantine.Retention)
		daemon.records[row] = known
	}
	daemon.sweepRecords(t.Context())
	if len(store.rows) != 0 || len(daemon.records) != 0 {
		t.Errorf("%d rows are left, %d are known", len(store.rows), len(daemon.records))
	}
}
