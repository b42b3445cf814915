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

// TestEachTableWatcherReportsRecovery covers an outage of the store whose end another follower notices first: the rows of replicas
// that lapsed meanwhile must get their grace time all the same.
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
	regained := 0
	table := &tableWatcher{
		daemon:     daemon,
		table:      platform.ReplicaTable,
		onSnapshot: func([]datastore.Row, uint64) {},
		onChanges:  func([]platform.Change, uint64) {},
		onRecovery: func() { regained++ },
	}
	_ = table.run(ctx)
	if regained != 1 {
		t.Errorf("the end of the outage was noted %d times", regained)
	}
}
