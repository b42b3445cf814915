package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
	"github.com/bronzestall/bronzestall/upstream"
)

func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1")
		cluster.engines["u1"].pieces = 1000
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		dispatcher := cluster.dispatcher(Settings{})
		err := dispatcher.Do(ctx, chatRequest("b"), &fakeSink{})
		dispatcher.Drain(t.Context())
		if err == nil || cluster.engines["u1"].active != 0 {
			t.Errorf("ended with %v and %d streams", err, cluster.engines["u1"].active)
		}
	})
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		cluster.engines["u1"].leaving = true
		dispatcher := cluster.dispatcher(Settings{})
		for n := range 50 {
			if err := dispatcher.Do(t.Context(), chatRequest(fmt.Sprint(n)), &fakeSink{}); err != nil {
				t.Fatal(err)
			}
		}
		if runs := len(cluster.engines["u1"].runs); runs != 0 {
			t.Errorf("the leaving upstream got %d requests", runs)
		}
	})
}

// TestReservationOnUpstreamThatBeginsToLeave guards against sending to a leaving upstream: it starts to leave
// while a granted request waits for its adapter to load.
func TestReservationOnUpstreamThatBeginsToLeave(t *testing.T) {
	broken := invariant.Violations()
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		cluster.engines["u1"].loadTime, cluster.engines["u2"].loadTime = 5*time.Second, 5*time.Second
		dispatcher := cluster.dispatcher(Settings{})
		req := chatRequest("b")
		req.Target.Adapter, req.Deadline = "style", time.Now().Add(time.Minute)
		ended := make(chan error, 1)
		go func() { ended <- dispatcher.Do(t.Context(), req, &fakeSink{}) }()
		synctest.Wait()
		for _, engine := range cluster.engines {
			if dispatcher.router.Running(engine.name) > 0 {
				engine.leave(time.Hour)
			}
		}
		time.Sleep(time.Second)
		if err := dispatcher.Do(t.Context(), chatRequest("other"), &fakeSink{}); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, engine := range cluster.engines {
			if engine.leaving && len(engine.runs) > 0 {
				t.Errorf("the leaving upstream ran %v", engine.runs)
			}
		}
	})
	if invariant.Violations() != broken {
		t.Error("an invariant was broken")
	}
}

func TestEjectedUpstreamIsProbedBackIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1")
		cluster.engines["u1"].down = true
		dispatcher := cluster.dispatcher(Settings{})
		ctx, stop := context.WithCancel(t.Context())
		var task sync.WaitGroup
		task.Go(func() { dispatcher.Run(ctx) })
		for n := range 3 {
			_ = dispatcher.Do(ctx, chatRequest(fmt.Sprint(n)), &fakeSink{})
		}
		cluster.engines["u1"].mutex.Lock()
		cluster.engines["u1"].down = false
		cluster.engines["u1"].mutex.Unlock()
		if err := dispatcher.Do(ctx, chatRequest("b"), &fakeSink{}); err != nil {
			t.Errorf("a request after the recovery ended with %v", err)
		}
		stop()
		task.Wait()
	})
}

// TestPausedUpstreamClearsSuspect checks that a request is a suspect only while its upstream pauses for longer than
// sound ones do, and that the pause ends no request.
func TestPausedUpstreamClearsSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1")
		dispatcher := cluster.dispatcher(Settings{})
		ctx, stop := context.WithCancel(t.Context())
		var task sync.WaitGroup
		task.Go(func() { dispatcher.Run(ctx) })
		cluster.engines["u1"].freeze(5 * time.Second)
		req := chatRequest("b")
		req.Idempotent = false
		ended := make(chan error, 1)
		go func() { ended <- dispatcher.Do(ctx, req, &fakeSink{}) }()
		time.Sleep(2500 * time.Millisecond)
		if suspects := dispatcher.registry.Export(time.Now()); len(suspects) != 0 || !dispatcher.router.AnyAvailable([]route.Candidate{{Upstream: "u1"}}) {
			t.Errorf("a short pause makes the suspects %v or ejects the upstream", suspects)
		}
		time.Sleep(1500 * time.Millisecond)
		if suspects := dispatcher.registry.Export(time.Now()); len(suspects) != 1 {
			t.Errorf("the suspects are %v", suspects)
		}
		if err := <-ended; err != nil {
			t.Errorf("ended with %v", err)
		}
		time.Sleep(5 * time.Second)
		if suspects := dispatcher.registry.Export(time.Now()); len(suspects) != 0 {
			t.Errorf("the suspects were not cleared: %v", suspects)
		}
		stop()
		task.Wait()
	})
}

// busyPeers simulates two other daemons that use all slots.
type busyPeers struct{}

func (busyPeers) Daemons() int               { return 3 }
func (busyPeers) Outstanding(string) int     { return 8 }
func (busyPeers) Running(string, string) int { return 8 }

// TestOtherDataCentresTakeWhatDoesNotFit sends more requests than this data centre has slots, alone and beside
// busy daemons.
func TestOtherDataCentresTakeWhatDoesNotFit(t *testing.T) {
	for name, peers := range map[string]Peers{"alone": nil, "beside busy daemons": busyPeers{}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				cluster := newCluster("near", "far")
				cluster.remote = map[string]bool{"far": true}
				dispatcher := cluster.dispatcher(Settings{})
				if peers != nil {
					dispatcher.deps.Peers = peers
				}
				if err := dispatcher.Do(t.Context(), chatRequest("first"), &fakeSink{}); err != nil || cluster.engines["near"].runs["first"] != 1 {
					t.Errorf("a request that fits here ended with %v and ran at %v", err, cluster.engines["far"].runs)
				}
				var all sync.WaitGroup
				for n := range 6 {
					all.Go(func() {
						if err := dispatcher.Do(t.Context(), chatRequest(fmt.Sprint("b", n)), &fakeSink{}); err != nil {
							t.Error(err)
						}
					})
				}
				all.Wait()
				if far := len(cluster.engines["far"].runs); far == 0 || cluster.engines["near"].maxActive > 4 {
					t.Errorf("the other data centre got %d of 6 requests, this one ran %d at once", far, cluster.engines["near"].maxActive)
				}
			})
		})
	}
}

func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		attempts := 0
		for _, engine := range cluster.engines {
			engine.generate = map[string]error{"b": &upstream.RefusedError{Status: 503, Reason: "full"}}
			engine.generations = &attempts
		}
		dispatcher := cluster.dispatcher(Settings{})
		kinds := map[outcome.Kind]int{}
		const sent = 400
		for range sent {
			kinds[outcome.From(dispatcher.Do(t.Context(), chatRequest("b"), &fakeSink{})).Kind]++
		}
		if attempts > sent+sent/10+32 {
			t.Errorf("%d requests made %d attempts", sent, attempts)
		}
		if kinds[outcome.RetriesSpent] == 0 || len(kinds) > 2 {
			t.Errorf("the requests ended as %v", kinds)
		}
	})
}

func TestServiceCallThatMayNotRepeatIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		dispatcher := cluster.dispatcher(Settings{})
		services := &fakeServices{err: upstream.ErrNoResponse}
		dispatcher.deps.Services = services
		req := chatRequest("charge")
		req.API, req.Service, req.Stream, req.Idempotent = request.ServiceCall, "tickets", false, false
		if err := dispatcher.Do(t.Context(), req, &fakeSink{}); !outcome.Is(err, outcome.UpstreamLost) || services.calls != 1 {
			t.Errorf("%d calls ended with %v", services.calls, err)
		}
		services.err = nil
		sink := &fakeSink{}
		if err := dispatcher.Do(t.Context(), req, sink); err != nil || string(sink.body) != "done" {
			t.Errorf("ended with %v and %q", err, sink.body)
		}
	})
}

type fakeServices struct {
	calls int
	err   error
}

func (services *fakeServices) Call(context.Context, string, request.Request) (Response, error) {
	services.calls++
	return Response{Status: 200, ContentType: "text/plain", Body: []byte("done")}, services.err
}
