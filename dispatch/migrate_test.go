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
	return []byte(requestID), nil
}

// Import counts an imported generation.
func (engine *fakeEngine) Import(_ context.Context, requestID string, blob []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
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
			cluster.engines["u2"].down = true
		})
		err := cluster.dispatcher(Settings{}).Do(t.Context(), chatRequest("b"), &fakeSink{})
		if !outcome.Is(err, outcome.UpstreamLost) {
			t.Errorf("ended with %v", err)
		}
	})
}
