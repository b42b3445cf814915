package dispatch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/upstream"
)

const whole = "id: 1\ndata: b-1\n\nid: 2\ndata: b-2\n\nid: 3\ndata: b-3\n\ndata: [DONE]\n\n"

func TestEndsOfOneRequest(t *testing.T) {
	refused := &upstream.RefusedError{Status: 503, Reason: "full"}
	cases := []struct {
		name       string
		prepare    func(world *fakeWorld)
		idempotent bool
		stream     bool
		want       outcome.Kind
		answered   bool
		runs       int
	}{
		{"answered", func(*fakeWorld) {}, false, true, 0, true, 1},
		{"refused by all", func(w *fakeWorld) { w.fail(refused) }, false, true, outcome.UpstreamRefused, false, 0},
		{"refused by one", func(w *fakeWorld) { w.engines["u1"].generate = map[string]error{"b": refused} }, false, true, 0, true, 1},
		{"no answer, not idempotent", func(w *fakeWorld) { w.fail(upstream.ErrNoResponse) }, false, true, outcome.UpstreamLost, false, 0},
		{"foreign answers", func(w *fakeWorld) { w.fail(upstream.ErrMismatched) }, true, true, outcome.AnswerInvalid, false, 0},
		{"silent, resumed", func(w *fakeWorld) { w.cut(2, upstream.ErrStalled) }, true, true, 0, true, 1},
		{"silent, resumed with pieces twice", func(w *fakeWorld) { w.cut(3, upstream.ErrStalled); w.resumeAt(-1) }, true, true, 0, true, 1},
		{"silent, resumed without a piece", func(w *fakeWorld) { w.cut(2, upstream.ErrStalled); w.resumeAt(1) }, true, true, outcome.AnswerInvalid, false, 1},
		{"silent, resumption refused", func(w *fakeWorld) {
			w.cut(2, upstream.ErrStalled)
			w.engines["u1"].final, w.engines["u2"].final = true, true
		}, true, true, outcome.UpstreamLost, false, 1},
		{"silent, not idempotent", func(w *fakeWorld) { w.cut(2, upstream.ErrStalled) }, false, true, outcome.UpstreamLost, false, 1},
		{"truncated, resumed elsewhere", func(w *fakeWorld) { w.cut(2, upstream.ErrTruncated) }, true, true, 0, true, 1},
		{"truncated whole answer", func(w *fakeWorld) { w.cut(3, upstream.ErrTruncated) }, false, false, outcome.AnswerInvalid, false, 1},
		{"dead engines", func(w *fakeWorld) { w.engines["u1"].dead, w.engines["u2"].dead = true, true }, false, true, outcome.UpstreamRefused, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld("u1", "u2")
				c.prepare(world)
				req := chat("b")
				req.Idempotent, req.Stream = c.idempotent, c.stream
				sink := &fakeSink{}
				err := world.dispatcher(Settings{}).Do(t.Context(), req, sink)
				if c.answered != (err == nil) || (err != nil && !outcome.Is(err, c.want)) {
					t.Fatalf("ended with %v", err)
				}
				if c.answered && string(sink.body) != whole {
					t.Errorf("answer is %q", sink.body)
				}
				if runs := world.engines["u1"].runs["b"] + world.engines["u2"].runs["b"]; runs != c.runs {
					t.Errorf("ran %d times, want %d", runs, c.runs)
				}
				if active := world.engines["u1"].active + world.engines["u2"].active; active != 0 {
					t.Errorf("%d streams were left open", active)
				}
			})
		})
	}
	if invariant.Broken() != 0 {
		t.Error("an invariant was broken")
	}
}

func (world *fakeWorld) fail(err error) {
	for _, engine := range world.engines {
		engine.generate = map[string]error{"b": err}
	}
}

func (world *fakeWorld) resumeAt(shift int) {
	for _, engine := range world.engines {
		engine.shift = shift
	}
}

func (world *fakeWorld) cut(at int, err error) {
	for _, engine := range world.engines {
		engine.breakAt, engine.breakErr = at, err
	}
}

func TestDrainLetsRunningRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1")
		dispatcher := world.dispatcher(Settings{})
		ended := make(chan error, 1)
		go func() { ended <- dispatcher.Do(context.Background(), chat("b"), &fakeSink{}) }()
		synctest.Wait()
		drained := make(chan Drained, 1)
		go func() { drained <- dispatcher.Drain(context.Background()) }()
		synctest.Wait()
		if err := dispatcher.Do(context.Background(), chat("late"), &fakeSink{}); !outcome.Is(err, outcome.Stopping) {
			t.Errorf("a request after the drain began ended with %v", err)
		}
		if err := <-ended; err != nil {
			t.Errorf("the drain cut a request: %v", err)
		}
		if got := <-drained; got != (Drained{Finished: 1}) {
			t.Errorf("the drain says %+v", got)
		}
	})
}

func TestColdRequestWaitsForItsReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld()
		dispatcher := world.dispatcher(Settings{})
		ended := make(chan error, 1)
		sink := &fakeSink{}
		go func() { ended <- dispatcher.Do(context.Background(), chat("b"), sink) }()
		time.Sleep(3 * time.Second)
		if need := world.need("m"); need.Waiting != 1 {
			t.Errorf("the decider was told %+v", need)
		}
		world.add("u1")
		if err := <-ended; err != nil || string(sink.body) != whole {
			t.Errorf("ended with %v and %q", err, sink.body)
		}
		if need := world.need("m"); need.Waiting != 0 {
			t.Errorf("the decider was left with %+v", need)
		}
	})
}

func TestGivenUpRequestsEndAtOnce(t *testing.T) {
	cases := []struct {
		name     string
		forecast Forecast
		coldErr  error
		want     outcome.Kind
	}{
		{"no decider", Forecast{}, outcome.New(outcome.NoDecider, "none"), outcome.NoDecider},
		{"too late", Forecast{Known: true, Ready: time.Minute}, nil, outcome.NoReplica},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld()
				dispatcher := world.dispatcher(Settings{})
				ended := make(chan error, 1)
				start := time.Now()
				go func() { ended <- dispatcher.Do(context.Background(), chat("b"), &fakeSink{}) }()
				time.Sleep(time.Second)
				world.mutex.Lock()
				world.forecast, world.coldErr = c.forecast, c.coldErr
				world.mutex.Unlock()
				if err := <-ended; !outcome.Is(err, c.want) {
					t.Errorf("ended with %v", err)
				}
				if took := time.Since(start); took > time.Second+2*mindEvery {
					t.Errorf("ended after %s", took)
				}
			})
		})
	}
}
