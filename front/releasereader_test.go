package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/origin"
)

// changedRow is a row in a response of the store.
type changedRow struct {
	Table, Key string
	Value      []byte `json:",omitempty"`
	Ver        uint64
	Tombstone  bool `json:",omitempty"`
}

// engineRow returns the row of a replica of the service "s".
func engineRow(id, release string, version uint64) changedRow {
	value := fmt.Sprintf(`{"service":"s","address":"127.0.0.1:9","zone":"z","version":%q,"slots":8,"state":"ready","born":1}`, release)
	return changedRow{Table: "servers", Key: id, Value: []byte(value), Ver: version}
}

// tableStore serves the table of replicas: its rows, and what changed after version 5.
func tableStore(t *testing.T, rows, changes []changedRow, status int) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Store-Era", "1")
		writer.WriteHeader(status)
		content := changes
		if request.URL.Path != "/rows-feed" {
			content = rows
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"rows": content, "ver": 9})
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

// TestTakeUpSeesReleaseThatJustJoined guards against issue 47: a daemon whose data was recent, but from before a newer release
// joined, held the older release for the only one that can have begun a stream.
func TestTakeUpSeesReleaseThatJustJoined(t *testing.T) {
	gone := changedRow{Table: "servers", Key: "unseen", Ver: 7, Tombstone: true}
	cases := []struct {
		name    string
		changes []changedRow
		status  int
		want    origin.Source
	}{
		{"nothing changed", nil, http.StatusOK, origin.Only},
		{"another replica of the release joined", []changedRow{engineRow("b", "v1", 6)}, http.StatusOK, origin.Only},
		{"a replica of a newer release joined", []changedRow{engineRow("b", "v2", 6)}, http.StatusOK, origin.Unknown},
		{"it joined and left", []changedRow{engineRow("unseen", "v2", 6), gone}, http.StatusOK, origin.Unknown},
		{"a replica of the release joined and left", []changedRow{engineRow("unseen", "v1", 6), gone}, http.StatusOK, origin.Only},
		{"a replica left that was never seen", []changedRow{gone}, http.StatusOK, origin.Unknown},
		{"the known replica left", []changedRow{{Table: "servers", Key: "a", Ver: 7, Tombstone: true}}, http.StatusOK, origin.Only},
		{"the store refuses", nil, http.StatusServiceUnavailable, origin.Unknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			daemon := New(Settings{Name: "a", StoreAddress: tableStore(t, nil, c.changes, c.status)}, "", nil)
			known := engineRow("a", "v1", 3)
			row := datastore.Row{Key: datastore.Key{Table: known.Table, Row: known.Key}, Version: datastore.NewVersion(1, 3), Value: known.Value}
			daemon.replaceReplicas(daemon.decodeEntries([]datastore.Row{row}), datastore.NewVersion(1, 5))
			daemon.apply(nil)
			daemon.origins.CompleteAt(daemon.origins.Gaps())
			daemon.replicasResponded()
			if found, source := (streamOrigins{daemon}).Find(t.Context(), "begun elsewhere", "s"); source != c.want {
				t.Errorf("began at %+v, source %s, want %s", found, source, c.want)
			}
		})
	}
}

// TestReleaseThatCameAndWentUnseen guards against issue 47: a daemon that stood still while a release joined and left, and whose store
// had dropped the history of that time, held the other release for the only one.
func TestReleaseThatCameAndWentUnseen(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Store-Era", "1")
		rows := []changedRow{engineRow("a", "v1", 3)}
		if request.URL.Query().Get("table") == originTable {
			rows = []changedRow{{Table: originTable, Key: "other-1-0", Ver: 7, Value: []byte(`{"Releases":{"s":["v1","v2"]}}`)}}
		}
		if request.URL.Path == "/rows-feed" {
			writer.WriteHeader(http.StatusGone)
		}
		_ = json.NewEncoder(writer).Encode(map[string]any{"rows": rows, "ver": 9})
	}))
	defer server.Close()
	daemon := New(Settings{Name: "a", StoreAddress: strings.TrimPrefix(server.URL, "http://")}, "", nil)
	rows, version, err := daemon.store.Snapshot(t.Context(), "servers")
	if err != nil {
		t.Fatal(err)
	}
	daemon.replaceReplicas(daemon.decodeEntries(rows), version)
	daemon.apply(nil)
	daemon.origins.CompleteAt(daemon.origins.Gaps())
	if found, source := (streamOrigins{daemon}).Find(t.Context(), "begun elsewhere", "s"); source != origin.Unknown {
		t.Errorf("before the daemon read the whole table again, the stream began at %+v, %s", found, source)
	}
	daemon.replaceReplicas(daemon.decodeEntries(rows), version)
	if daemon.origins.IsComplete() {
		t.Error("after the whole table replaced a known one, the recorded releases count as read")
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = daemon.loadOrigins(ctx) }()
	for !daemon.origins.IsComplete() {
		time.Sleep(time.Millisecond)
	}
	if releases := daemon.origins.Lately(daemon.clock.Now())["s"]; len(releases) != 2 {
		t.Errorf("the daemon knows the releases %v", releases)
	}
}

// TestTakeUpsShareReads covers many streams that are taken up at once: they cost few reads of the store.
func TestTakeUpsShareReads(t *testing.T) {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	reader := daemon.releaseReader
	reader.turn <- struct{}{}
	first := reader.refresh()
	for range 100 {
		reader.refresh()
	}
	if waiters := len(reader.waiters); waiters != 101 {
		t.Errorf("%d requests share the next read, want 101", waiters)
	}
	<-reader.turn
	if <-first {
		t.Error("a read of a store that is not there succeeded")
	}
}

// TestReadsForTakeUpsArePaced covers a flood of streams that never were, taken up at many daemons: their reads of the store stay apart.
func TestReadsForTakeUpsArePaced(t *testing.T) {
	daemon := New(Settings{Name: "a", StoreAddress: "127.0.0.1:1"}, "", nil)
	reader := daemon.releaseReader
	now := daemon.clock.Now()
	for _, c := range []struct {
		daemons     int64
		since, want time.Duration
	}{
		{4, 0, 4 * time.Millisecond},
		{4, 5 * time.Millisecond, 0},
		{363, 100 * time.Millisecond, 263 * time.Millisecond},
		{363, time.Hour, 0},
	} {
		daemon.daemonCount.Store(c.daemons)
		reader.begun = now.Add(-c.since)
		if pause := reader.pause(now); pause != c.want {
			t.Errorf("%d daemons, %v after a read: pause of %v, want %v", c.daemons, c.since, pause, c.want)
		}
	}
}
