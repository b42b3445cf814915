package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

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
