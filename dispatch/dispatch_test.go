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

// totalTime is the total time of a request, which the gateway sets in the daemon.
const totalTime = 30 * time.Second

const wholeStream = "id: 1\ndata: b-1\n\nid: 2\ndata: b-2\n\nid: 3\ndata: b-3\n\ndata: [DONE]\n\n"

func TestRequestOutcomes(t *testing.T) {
	refused := &upstream.RefusedError{Status: 503, Reason: "full"}
	cases := []struct {
		name       string
		prepare    func(cluster *fakeCluster)
		idempotent bool
		stream     bool
		want       outcome.Kind
		answered   bool
		runs       int
	}{
		{"answered", func(*fakeCluster) {}, false, true, 0, true, 1},
		{"refused by all", func(w *fakeCluster) { w.fail(refused) }, false, true, outcome.UpstreamRefused, false, 0},
		{"refused by one", func(w *fakeCluster) { w.engines["u1"].generate = map[string]error{"b": refused} }, false, true, 0, true, 1},
		{"no response, not idempotent", func(w *fakeCluster) { w.fail(upstream.ErrNoResponse) }, false, true, outcome.UpstreamLost, false, 0},
		{"responses to other requests", func(w *fakeCluster) { w.fail(upstream.ErrMismatched) }, true, true, outcome.AnswerInvalid, false, 0},
		{"stalled, resumed", func(w *fakeCluster) { w.quietStreams(2) }, true, true, 0, true, 1},
		{"stalled, resumed with duplicate pieces", func(w *fakeCluster) { w.quietStreams(3); w.resumeAt(-1) }, true, true, 0, true, 1},
		{"stalled, resumed with a missing piece", func(w *fakeCluster) { w.quietStreams(2); w.resumeAt(1) }, true, true, outcome.AnswerInvalid, false, 1},
		{"stalled, resumption refused", func(w *fakeCluster) {
			w.quietStreams(2)
			w.engines["u1"].cannotResume, w.engines["u2"].cannotResume = true, true
		}, true, true, outcome.UpstreamLost, false, 1},
		{"stalled, not idempotent", func(w *fakeCluster) { w.quietStreams(2) }, false, true, outcome.UpstreamLost, false, 1},
		{"truncated, resumed elsewhere", func(w *fakeCluster) { w.breakStreams(2, upstream.ErrTruncated) }, true, true, 0, true, 1},
		{"truncated, not streamed", func(w *fakeCluster) { w.breakStreams(3, upstream.ErrTruncated) }, false, false, outcome.AnswerInvalid, false, 1},
		{"engines down", func(w *fakeCluster) { w.engines["u1"].down, w.engines["u2"].down = true, true }, false, true, outcome.UpstreamRefused, false, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster("u1", "u2")
				c.prepare(cluster)
				req := chatRequest("b")
				req.Idempotent, req.Stream = c.idempotent, c.stream
				sink := &fakeSink{}
				ctx, cancel := context.WithTimeout(t.Context(), totalTime)
				defer cancel()
				dispatcher := cluster.dispatcher(Settings{})
				err := dispatcher.Do(ctx, req, sink)
				dispatcher.Drain(t.Context())
				if c.answered != (err == nil) || (err != nil && !outcome.Is(err, c.want)) {
					t.Fatalf("ended with %v", err)
				}
				if c.answered && string(sink.body) != wholeStream {
					t.Errorf("the response is %q", sink.body)
				}
				if runs := cluster.engines["u1"].runs["b"] + cluster.engines["u2"].runs["b"]; runs != c.runs {
					t.Errorf("ran %d times, want %d", runs, c.runs)
				}
				if active := cluster.engines["u1"].active + cluster.engines["u2"].active; active != 0 {
					t.Errorf("%d streams were left open", active)
				}
			})
		})
	}
	if invariant.Violations() != 0 {
		t.Error("an invariant was broken")
	}
}

func (cluster *fakeCluster) fail(err error) {
	for _, engine := range cluster.engines {
		engine.generate = map[string]error{"b": err}
	}
}

// quietStreams makes new streams silent for good before the piece.
func (cluster *fakeCluster) quietStreams(at int) {
	for _, engine := range cluster.engines {
		engine.quietAt, engine.quiet = at, forever
	}
}

func (cluster *fakeCluster) resumeAt(resumeShift int) {
	for _, engine := range cluster.engines {
		engine.resumeShift = resumeShift
	}
}

func (cluster *fakeCluster) breakStreams(at int, err error) {
	for _, engine := range cluster.engines {
		engine.breakAt, engine.breakErr = at, err
	}
}

func TestDrainLetsRunningRequestsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1")
		dispatcher := cluster.dispatcher(Settings{})
		ended := make(chan error, 1)
		go func() { ended <- dispatcher.Do(context.Background(), chatRequest("b"), &fakeSink{}) }()
		synctest.Wait()
		drained := make(chan DrainResult, 1)
		go func() { drained <- dispatcher.Drain(context.Background()) }()
		synctest.Wait()
		if err := dispatcher.Do(context.Background(), chatRequest("late"), &fakeSink{}); !outcome.Is(err, outcome.Stopping) {
			t.Errorf("a request after the drain began ended with %v", err)
		}
		if err := <-ended; err != nil {
			t.Errorf("the drain cut a request: %v", err)
		}
		if got := <-drained; got != (DrainResult{Finished: 1}) {
			t.Errorf("Drain returned %+v", got)
		}
	})
}

func TestRequestWaitsForFirstReplica(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster()
		dispatcher := cluster.dispatcher(Settings{})
		ended := make(chan error, 1)
		sink := &fakeSink{}
		go func() { ended <- dispatcher.Do(context.Background(), chatRequest("b"), sink) }()
		time.Sleep(3 * time.Second)
		if demand := cluster.demand("m"); demand.Waiting != 1 {
			t.Errorf("the decider received %+v", demand)
		}
		cluster.add("u1")
		if err := <-ended; err != nil || string(sink.body) != wholeStream {
			t.Errorf("ended with %v and %q", err, sink.body)
		}
		if demand := cluster.demand("m"); demand.Waiting != 0 {
			t.Errorf("the last report to the decider is %+v", demand)
		}
	})
}

func TestHopelessRequestsAreRejectedAtOnce(t *testing.T) {
	cases := []struct {
		name        string
		forecast    Forecast
		forecastErr error
		want        outcome.Kind
	}{
		{"no decider", Forecast{}, outcome.New(outcome.NoDecider, "none"), outcome.NoDecider},
		{"too late", Forecast{Known: true, ReadyIn: time.Minute}, nil, outcome.NoReplica},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster()
				dispatcher := cluster.dispatcher(Settings{})
				ended := make(chan error, 1)
				start := time.Now()
				go func() { ended <- dispatcher.Do(context.Background(), chatRequest("b"), &fakeSink{}) }()
				time.Sleep(time.Second)
				cluster.mutex.Lock()
				cluster.forecast, cluster.forecastErr = c.forecast, c.forecastErr
				cluster.mutex.Unlock()
				if err := <-ended; !outcome.Is(err, c.want) {
					t.Errorf("ended with %v", err)
				}
				if took := time.Since(start); took > time.Second+2*monitorInterval {
					t.Errorf("ended after %s", took)
				}
			})
		})
	}
}
