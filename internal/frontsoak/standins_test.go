package frontsoak

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestStreamNamesReleaseThatBeganIt guards against a data race of the simulated engine that ended a run of CI: a stream whose
// connection had been reset read the release while the engine restarted with another one. It fails under the race detector only
// where the events alone show nothing.
func TestStreamNamesReleaseThatBeganIt(t *testing.T) {
	replica, err := newReplica("i-0", engineService, "z0", newChecker(), newStore())
	if err != nil {
		t.Fatal(err)
	}
	replica.withLock(func() { replica.nextRelease = "v2" })
	request := httptest.NewRequest(http.MethodPost, "/", strings.NewReader("{}"))
	request.Header.Set("Bronzestall-Request-Id", takeUpPrefix+"0-0@front-0")
	response := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		replica.stream(response, request, request.Header.Get("Bronzestall-Request-Id"), false)
	}()
	time.Sleep(2 * eventGap)
	replica.crash(eventGap)
	<-done
	lines := strings.Split(response.Body.String(), "\n")
	events := slices.DeleteFunc(lines, func(line string) bool { return !strings.HasPrefix(line, "data: ") })
	if len(events) != streamEvents {
		t.Fatalf("%d events, want %d", len(events), streamEvents)
	}
	for _, event := range events {
		if event != "data: v1" {
			t.Errorf("event %q of a stream that v1 began", event)
		}
	}
}

// TestLogsOfEachFailedRunAreKept guards against logs that were lost in CI, since a run of the same seed had left its own.
func TestLogsOfEachFailedRunAreKept(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir())
	folder := t.TempDir()
	if err := os.WriteFile(filepath.Join(folder, "front-0.log"), []byte("line\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	saveLogs(t, folder, 1)
	saveLogs(t, folder, 1)
	kept, err := filepath.Glob(filepath.Join(os.TempDir(), "frontsoak-*", "front-0.log"))
	if err != nil || len(kept) != 2 {
		t.Errorf("logs of %d runs are kept, want 2: %v", len(kept), err)
	}
}

// TestOverlappingFaultsDoNotEndEachOther guards against faults of the soak that ended sooner than it said: the end of one ended
// others of its kind.
func TestOverlappingFaultsDoNotEndEachOther(t *testing.T) {
	proxy, err := newProxy("127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	defer proxy.listener.Close()
	endStall, endRefusal := proxy.begin(proxyFault{stalls: true}), proxy.begin(proxyFault{refuses: true, delay: time.Millisecond})
	endSecond := proxy.begin(proxyFault{stalls: true})
	endStall()
	if fault := proxy.fault(); !fault.stalls || !fault.refuses || fault.delay != time.Millisecond {
		t.Errorf("after the first of two stalls: %+v", fault)
	}
	endRefusal()
	endSecond()
	if fault := proxy.fault(); fault != (proxyFault{}) {
		t.Errorf("after all: %+v", fault)
	}
	store := newStore()
	endFirst, endOther := store.beginOutage(), store.beginOutage()
	endFirst()
	response := httptest.NewRecorder()
	store.ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/rows-get?table=op", nil))
	if response.Code != http.StatusServiceUnavailable {
		t.Errorf("in an outage the store answers %d", response.Code)
	}
	endOther()
}

// TestCrashWhileDownKeepsReplicaDown covers a replica that crashes again before it has started.
func TestCrashWhileDownKeepsReplicaDown(t *testing.T) {
	replica, err := newReplica("i-0", plainService, "z0", newChecker(), newStore())
	if err != nil {
		t.Fatal(err)
	}
	replica.crash(20 * time.Millisecond)
	replica.crash(300 * time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	down := false
	replica.withLock(func() { down = replica.crashes > 0 })
	if !down || !replica.proxy.fault().refuses {
		t.Error("the replica is up during its second downtime")
	}
}
