package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/platform"
)

// TestEachTableWatcherReportsRecovery covers an outage of the store whose end is first detected by the
// watcher of another table. The replicas whose rows expired during the outage must still get their grace
// period.
func TestEachTableWatcherReportsRecovery(t *testing.T) {
	var daemon *Daemon
	var calls atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		switch calls.Add(1) {
		case 2:
			writer.WriteHeader(http.StatusServiceUnavailable)
			return
		case 3:
			daemon.storeResponded()
		case 4:
			cancel()
		}
		_, _ = writer.Write([]byte(`{"rows":[],"morePages":false,"ver":1,"nowMs":1}`))
	}))
	defer server.Close()
	daemon = New(Settings{StoreAddress: strings.TrimPrefix(server.URL, "http://")}, "", nil)
	recoveries := 0
	watcher := &tableWatcher{
		daemon:     daemon,
		table:      platform.ReplicaTable,
		onSnapshot: func([]datastore.Row, datastore.Version) {},
		onChanges:  func([]platform.Change, datastore.Version) {},
		onRecovery: func() { recoveries++ },
	}
	_ = watcher.run(ctx)
	if recoveries != 1 {
		t.Errorf("recovery was reported %d times, want 1", recoveries)
	}
}

// TestCallsEndWhenTheStoreTurns guards against review/5: a call that had begun while the store was silent was waited for until the end of
// its long poll, on a connection that yielded nothing more.
func TestCallsEndWhenTheStoreTurns(t *testing.T) {
	var daemon *Daemon
	var waits []string
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		if request.URL.Path == "/rows-feed" {
			waits = append(waits, request.URL.Query().Get("waitMs"))
		}
		switch len(waits) {
		case 1:
			// Another table finds that the store has been silent for long. This call is never answered.
			daemon.mutex.Lock()
			daemon.storeSeen = time.Time{}
			daemon.mutex.Unlock()
			daemon.storeFailed(datastore.ErrUnavailable, "other", daemon.clock.Now().Add(-minSilence))
			<-request.Context().Done()
			return
		case 3:
			cancel()
		}
		_, _ = writer.Write([]byte(`{"rows":[],"morePages":false,"ver":1,"nowMs":1}`))
	}))
	defer server.Close()
	daemon = New(Settings{StoreAddress: strings.TrimPrefix(server.URL, "http://")}, "", nil)
	watcher := &tableWatcher{
		daemon: daemon, table: platform.OperatorTable, wait: time.Hour,
		onSnapshot: func([]datastore.Row, datastore.Version) {},
		onChanges:  func([]platform.Change, datastore.Version) {},
	}
	_ = watcher.run(ctx)
	if want := []string{"3600000", "0", "3600000"}; !slices.Equal(waits, want) {
		t.Errorf("the calls for changes wait for %v ms, want %v", waits, want)
	}
}

// TestLateFailureIsNoLoss guards against a call on a silent connection that failed long after the store answered others, and made the
// daemon take the store for lost.
func TestLateFailureIsNoLoss(t *testing.T) {
	daemon := New(Settings{StoreAddress: "127.0.0.1:1"}, "", nil)
	begun := daemon.clock.Now().Add(-time.Second)
	daemon.storeResponded()
	daemon.storeFailed(datastore.ErrUnavailable, "late", begun)
	if daemon.isStoreLost() || daemon.storeSilent {
		t.Error("the store counts as lost although it answered after the call had begun")
	}
	daemon.storeFailed(datastore.ErrUnavailable, "refused", daemon.clock.Now())
	if !daemon.isStoreLost() || daemon.storeSilent {
		t.Error("a store that refuses a call does not count as lost, or counts as silent")
	}
}
