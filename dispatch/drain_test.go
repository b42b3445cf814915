package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/claim"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// TestDrainCountsFromItsAnnouncement ends two requests between the announcement and the drain, and one after.
func TestDrainCountsFromItsAnnouncement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		dispatcher := newCluster("u1").dispatcher(Settings{})
		var all sync.WaitGroup
		send := func(body string) {
			all.Go(func() { _ = dispatcher.Do(t.Context(), chatRequest(body), &fakeSink{}) })
		}
		send("before")
		all.Wait()
		send("running")
		synctest.Wait()
		dispatcher.AnnounceDrain()
		send("late")
		all.Wait()
		send("last")
		synctest.Wait()
		if got := dispatcher.Drain(t.Context()); got != (DrainResult{Finished: 3}) {
			t.Errorf("Drain returned %+v", got)
		}
		all.Wait()
	})
}

// TestStopAnswersWhatItCuts guards against requests that got no answer when the time of a drain was over.
func TestStopAnswersWhatItCuts(t *testing.T) {
	const limit = 2 * time.Second
	cases := []struct {
		name    string
		prepare func(engine *fakeEngine)
		change  func(req *request.Request)
		want    outcome.Kind
	}{
		{"waiting", func(engine *fakeEngine) { engine.leaving = true }, func(*request.Request) {}, outcome.Stopping},
		{"streaming", func(*fakeEngine) {}, func(*request.Request) {}, outcome.DeadlineRunning},
		{"streaming, silent", func(engine *fakeEngine) { engine.quietAt, engine.quiet, engine.cannotResume = 2, forever, true }, func(*request.Request) {}, outcome.DeadlineRunning},
		{"not streaming", func(*fakeEngine) {}, func(req *request.Request) { req.Stream = false }, outcome.DeadlineRunning},
		{"broken off", func(engine *fakeEngine) {
			engine.breakAt, engine.breakErr, engine.cannotResume = 2, upstream.ErrNoResponse, true
		}, func(*request.Request) {}, outcome.UpstreamLost},
		{"claimed", func(*fakeEngine) {}, func(req *request.Request) { req.Idempotent, req.IdempotencyKey = false, "key" }, outcome.DeadlineRunning},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster("u1")
				engine := cluster.engines["u1"]
				engine.pieces, engine.gap = 1000, 100*time.Millisecond
				c.prepare(engine)
				fake := platformfake.New(clock.RealClock{}, rand.New(rand.NewPCG(1, 1)))
				dispatcher := cluster.dispatcher(Settings{})
				dispatcher.deps.Claims = claim.New(claim.Settings{Incarnation: "run"}, fake.Client(), clock.RealClock{})
				req, sink := chatRequest("b"), &fakeSink{}
				req.Deadline = time.Now().Add(time.Minute)
				c.change(&req)
				ended := make(chan error, 1)
				go func() { ended <- dispatcher.Do(t.Context(), req, sink) }()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				begun := time.Now()
				drained := dispatcher.Drain(ctx)
				took := time.Since(begun)
				synctest.Wait()
				select {
				case err := <-ended:
					if !outcome.Is(err, c.want) || took > limit+finalAnswerTime {
						t.Errorf("ended with %v after %v", err, took)
					}
				default:
					t.Errorf("got no answer in %v", took)
					engine.restart(0)
				}
				time.Sleep(5 * time.Second)
				if finished := drained.Finished + drained.Unfinished; finished != 1 {
					t.Errorf("the drain returned %+v", drained)
				}
			})
		})
	}
}
