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

// Export takes a generation off a fake engine.
func (engine *fakeEngine) Export(_ context.Context, requestID string) ([]byte, error) {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if engine.final {
		return nil, upstream.ErrNoResponse
	}
	return []byte(requestID), nil
}

// Import takes up a generation.
func (engine *fakeEngine) Import(_ context.Context, requestID string, blob []byte) error {
	engine.mutex.Lock()
	defer engine.mutex.Unlock()
	if requestID != string(blob) {
		return upstream.ErrMismatched
	}
	engine.imports++
	return nil
}

// TestLongStreamLeavesALeavingUpstream checks that a stream of 20 s goes on at another upstream, whole and
// without a second run, and that it stays if it cannot move.
func TestLongStreamLeavesALeavingUpstream(t *testing.T) {
	for _, final := range []bool{false, true} {
		t.Run(fmt.Sprint("cannot move ", final), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld("u1", "u2")
				for _, engine := range world.engines {
					engine.pieces, engine.gap, engine.final = 20, time.Second, final
				}
				world.engines["u2"].leaving = true
				req := chat("b")
				req.Idempotent = false
				time.AfterFunc(2500*time.Millisecond, func() {
					world.engines["u1"].leave(time.Hour)
					world.engines["u2"].mutex.Lock()
					world.engines["u2"].leaving = false
					world.engines["u2"].mutex.Unlock()
				})
				sink := &fakeSink{}
				if err := world.dispatcher(Settings{}).Do(t.Context(), req, sink); err != nil {
					t.Fatal(err)
				}
				if got := strings.Count(string(sink.body), "id: "); got != 20 || !strings.Contains(string(sink.body), "id: 20\ndata: b-20\n\ndata: [DONE]") {
					t.Errorf("the answer is %q", sink.body)
				}
				runs, moved := world.once()["b"], world.engines["u2"].imports
				if runs != 1 || (moved == 1) == final {
					t.Errorf("the request ran %d times and moved %d times", runs, moved)
				}
			})
		})
	}
}

// TestStreamGoesOnAfterItsBeginDeadline checks that the deadline of the begin does not end a stream that
// began in time and breaks after it.
func TestStreamGoesOnAfterItsBeginDeadline(t *testing.T) {
	for _, at := range []int{3, 4} {
		synctest.Test(t, func(t *testing.T) {
			world := newWorld("u1", "u2")
			for _, engine := range world.engines {
				engine.gap = 6 * time.Second
			}
			world.cut(at, upstream.ErrTruncated)
			sink := &fakeSink{}
			if err := world.dispatcher(Settings{}).Do(t.Context(), chat("b"), sink); err != nil || string(sink.body) != whole {
				t.Errorf("ended with %v and %q", err, sink.body)
			}
		})
	}
}

// TestMovedStreamWithoutAPlaceIsNotCalledUnrun loses the other upstream between export and import.
func TestMovedStreamWithoutAPlaceIsNotCalledUnrun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2")
		for _, engine := range world.engines {
			engine.pieces, engine.gap = 20, time.Second
		}
		world.engines["u2"].leaving = true
		time.AfterFunc(500*time.Millisecond, func() {
			world.engines["u1"].leave(time.Hour)
			world.engines["u2"].mutex.Lock()
			defer world.engines["u2"].mutex.Unlock()
			world.engines["u2"].leaving = false
			world.engines["u2"].dead = true
		})
		err := world.dispatcher(Settings{}).Do(t.Context(), chat("b"), &fakeSink{})
		if !outcome.Is(err, outcome.UpstreamLost) {
			t.Errorf("ended with %v", err)
		}
	})
}
