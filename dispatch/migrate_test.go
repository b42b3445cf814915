package dispatch

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

// Export returns the request ID as the exported state.
func (engine *fakeEngine) Export(_ context.Context, requestID string) ([]byte, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.cannotResume {
		return nil, upstream.ErrNoResponse
	}
	if engine.onExport != nil {
		engine.onExport()
	}
	return []byte(requestID), nil
}

// Import counts an imported generation.
func (engine *fakeEngine) Import(_ context.Context, requestID string, blob []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.down {
		return upstream.ErrNotSent
	}
	if requestID != string(blob) {
		return upstream.ErrMismatched
	}
	engine.imports++
	return nil
}

// TestLongStreamMigratesFromLeavingUpstream checks that a stream of 20 s continues on another upstream without
// gaps and without a second run, and that it stays if it cannot migrate.
func TestLongStreamMigratesFromLeavingUpstream(t *testing.T) {
	for _, cannotResume := range []bool{false, true} {
		t.Run(fmt.Sprint("cannot migrate ", cannotResume), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster("u1", "u2")
				for _, engine := range cluster.engines {
					engine.pieces, engine.gap, engine.cannotResume = 20, time.Second, cannotResume
				}
				cluster.engines["u2"].leaving = true
				req := chatRequest("b")
				req.Idempotent = false
				time.AfterFunc(2500*time.Millisecond, func() {
					cluster.engines["u1"].leave(time.Hour)
					cluster.engines["u2"].mutex.Lock()
					cluster.engines["u2"].leaving = false
					cluster.engines["u2"].mutex.Unlock()
				})
				sink := &fakeSink{}
				if err := cluster.dispatcher(Settings{}).Do(t.Context(), req, sink); err != nil {
					t.Fatal(err)
				}
				if got := strings.Count(string(sink.body), "id: "); got != 20 || !strings.Contains(string(sink.body), "id: 20\ndata: b-20\n\ndata: [DONE]") {
					t.Errorf("the response is %q", sink.body)
				}
				runs, migrated := cluster.nonIdempotentRuns()["b"], cluster.engines["u2"].imports
				if runs != 1 || (migrated == 1) == cannotResume {
					t.Errorf("the request ran %d times and migrated %d times", runs, migrated)
				}
			})
		})
	}
}

// TestStreamGoesOnAfterItsBeginDeadline checks that a stream that began in time and breaks after the deadline
// for its begin is resumed.
func TestStreamGoesOnAfterItsBeginDeadline(t *testing.T) {
	for _, at := range []int{3, 4} {
		synctest.Test(t, func(t *testing.T) {
			cluster := newCluster("u1", "u2")
			for _, engine := range cluster.engines {
				engine.gap = 6 * time.Second
			}
			cluster.breakStreams(at, upstream.ErrTruncated)
			sink := &fakeSink{}
			if err := cluster.dispatcher(Settings{}).Do(t.Context(), chatRequest("b"), sink); err != nil || string(sink.body) != wholeStream {
				t.Errorf("ended with %v and %q", err, sink.body)
			}
		})
	}
}

// TestLeavingUpstreamIsLeftOnlyForASuccessor guards against issue 33: a stream was exported from an upstream that leaves
// before another one had a slot for it, and was cut.
func TestLeavingUpstreamIsLeftOnlyForASuccessor(t *testing.T) {
	cases := []struct {
		name string
		// trouble is done at u2 as u1 begins to leave, and end 10 s later.
		trouble, end func(other *fakeEngine)
		migrations   int
	}{
		{"no trouble", func(*fakeEngine) {}, func(*fakeEngine) {}, 1},
		{"no slot", func(other *fakeEngine) { other.slots, other.active, other.reports = 1, 1, true }, func(*fakeEngine) {}, 0},
		{"no slot for a while", func(other *fakeEngine) { other.slots, other.active, other.reports = 1, 1, true }, func(other *fakeEngine) { other.active = 0 }, 1},
		{"unreachable", func(other *fakeEngine) { other.down = true }, func(*fakeEngine) {}, 0},
		{"other version", func(other *fakeEngine) { other.version = "v2" }, func(*fakeEngine) {}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster("u1", "u2")
				for _, engine := range cluster.engines {
					engine.pieces, engine.gap = 30, time.Second
				}
				cluster.engines["u2"].leaving = true
				time.AfterFunc(1500*time.Millisecond, func() {
					cluster.engines["u1"].leave(time.Hour)
					cluster.engines["u2"].set(func(other *fakeEngine) {
						other.leaving = false
						c.trouble(other)
					})
				})
				time.AfterFunc(11500*time.Millisecond, func() { cluster.engines["u2"].set(c.end) })
				req, sink := chatRequest("b"), &fakeSink{}
				req.Idempotent = false
				dispatcher := cluster.dispatcher(Settings{})
				err := dispatcher.Do(t.Context(), req, sink)
				if got := strings.Count(string(sink.body), "id: "); err != nil || got != 30 {
					t.Errorf("ended with %v after %d pieces", err, got)
				}
				if got := cluster.engines["u2"].imports; got != c.migrations {
					t.Errorf("the stream migrated %d times, want %d", got, c.migrations)
				}
				dispatcher.Drain(t.Context())
				if got := dispatcher.router.Running("u1") + dispatcher.router.Running("u2"); got != 0 {
					t.Errorf("%d slots were not given back", got)
				}
			})
		})
	}
}

// TestMigratedStreamWithoutUpstreamMayHaveRun loses the other upstream between export and import. The failure
// must report that the request may have run.
func TestMigratedStreamWithoutUpstreamMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		for _, engine := range cluster.engines {
			engine.pieces, engine.gap = 20, time.Second
		}
		cluster.engines["u2"].leaving = true
		time.AfterFunc(500*time.Millisecond, func() {
			cluster.engines["u1"].leave(time.Hour)
			cluster.engines["u2"].mutex.Lock()
			defer cluster.engines["u2"].mutex.Unlock()
			cluster.engines["u2"].leaving = false
		})
		cluster.engines["u1"].onExport = func() { cluster.engines["u2"].set(func(engine *fakeEngine) { engine.down = true }) }
		err := cluster.dispatcher(Settings{}).Do(t.Context(), chatRequest("b"), &fakeSink{})
		if !outcome.Is(err, outcome.UpstreamLost) {
			t.Errorf("ended with %v", err)
		}
	})
}
