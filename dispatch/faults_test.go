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
	"github.com/bronzestall/bronzestall/upstream"
)

func TestCallerThatLeavesCancelsUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1")
		world.engines["u1"].pieces = 1000
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		dispatcher := world.dispatcher(Settings{})
		err := dispatcher.Do(ctx, chat("b"), &fakeSink{})
		dispatcher.Drain(t.Context())
		if err == nil || world.engines["u1"].active != 0 {
			t.Errorf("ended with %v and %d streams", err, world.engines["u1"].active)
		}
	})
}

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2")
		world.engines["u1"].leaving = true
		dispatcher := world.dispatcher(Settings{})
		for n := range 50 {
			if err := dispatcher.Do(t.Context(), chat(fmt.Sprint(n)), &fakeSink{}); err != nil {
				t.Fatal(err)
			}
		}
		if runs := len(world.engines["u1"].runs); runs != 0 {
			t.Errorf("the leaving upstream got %d requests", runs)
		}
	})
}

// TestPlaceOnUpstreamThatBeginsToLeave holds a granted request in the load of its adapter until its upstream leaves.
func TestPlaceOnUpstreamThatBeginsToLeave(t *testing.T) {
	broken := invariant.Broken()
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2")
		world.engines["u1"].loadTime, world.engines["u2"].loadTime = 5*time.Second, 5*time.Second
		dispatcher := world.dispatcher(Settings{})
		req := chat("b")
		req.Target.Adapter, req.Deadline = "style", time.Now().Add(time.Minute)
		ended := make(chan error, 1)
		go func() { ended <- dispatcher.Do(t.Context(), req, &fakeSink{}) }()
		synctest.Wait()
		for _, engine := range world.engines {
			if dispatcher.router.Running(engine.name) > 0 {
				engine.leave(time.Hour)
			}
		}
		time.Sleep(time.Second)
		if err := dispatcher.Do(t.Context(), chat("other"), &fakeSink{}); err != nil {
			t.Error(err)
		}
		if err := <-ended; err != nil {
			t.Error(err)
		}
		for _, engine := range world.engines {
			if engine.leaving && len(engine.runs) > 0 {
				t.Errorf("the leaving upstream ran %v", engine.runs)
			}
		}
	})
	if invariant.Broken() != broken {
		t.Error("an invariant was broken")
	}
}

func TestEjectedUpstreamIsProbedBackIn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1")
		world.engines["u1"].dead = true
		dispatcher := world.dispatcher(Settings{})
		ctx, stop := context.WithCancel(t.Context())
		var duty sync.WaitGroup
		duty.Go(func() { dispatcher.Run(ctx) })
		for n := range 3 {
			_ = dispatcher.Do(ctx, chat(fmt.Sprint(n)), &fakeSink{})
		}
		world.engines["u1"].mutex.Lock()
		world.engines["u1"].dead = false
		world.engines["u1"].mutex.Unlock()
		if err := dispatcher.Do(ctx, chat("b"), &fakeSink{}); err != nil {
			t.Errorf("a request after the recovery ended with %v", err)
		}
		stop()
		duty.Wait()
	})
}

// TestCutUpstreamIsAbsolved checks that a request whose upstream was paused is no suspect afterwards.
func TestCutUpstreamIsAbsolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1")
		dispatcher := world.dispatcher(Settings{})
		ctx, stop := context.WithCancel(t.Context())
		var duty sync.WaitGroup
		duty.Go(func() { dispatcher.Run(ctx) })
		world.engines["u1"].freeze(2 * time.Second)
		req := chat("b")
		req.Idempotent = false
		err := dispatcher.Do(ctx, req, &fakeSink{})
		if suspects := dispatcher.book.Export(time.Now()); !outcome.Is(err, outcome.UpstreamLost) || len(suspects) != 1 {
			t.Errorf("ended with %v and the suspects %v", err, suspects)
		}
		time.Sleep(5 * time.Second)
		if suspects := dispatcher.book.Export(time.Now()); len(suspects) != 0 {
			t.Errorf("the suspects stayed: %v", suspects)
		}
		stop()
		duty.Wait()
	})
}

// busyPeers are two other daemons that run and hold as much as there are slots.
type busyPeers struct{}

func (busyPeers) Daemons() int               { return 3 }
func (busyPeers) Wanted(string) int          { return 8 }
func (busyPeers) Running(string, string) int { return 8 }

// TestOtherDataCentresTakeWhatDoesNotFit sends more than this data centre holds, alone and beside busy daemons.
func TestOtherDataCentresTakeWhatDoesNotFit(t *testing.T) {
	for name, peers := range map[string]Peers{"alone": nil, "beside busy daemons": busyPeers{}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				world := newWorld("near", "far")
				world.away = map[string]bool{"far": true}
				dispatcher := world.dispatcher(Settings{})
				if peers != nil {
					dispatcher.deps.Peers = peers
				}
				if err := dispatcher.Do(t.Context(), chat("first"), &fakeSink{}); err != nil || world.engines["near"].runs["first"] != 1 {
					t.Errorf("a request that fits here ended with %v and ran at %v", err, world.engines["far"].runs)
				}
				var all sync.WaitGroup
				for n := range 6 {
					all.Go(func() {
						if err := dispatcher.Do(t.Context(), chat(fmt.Sprint("b", n)), &fakeSink{}); err != nil {
							t.Error(err)
						}
					})
				}
				all.Wait()
				if far := len(world.engines["far"].runs); far == 0 || world.engines["near"].most > 4 {
					t.Errorf("the other data centre got %d of 6 requests, this one ran %d at once", far, world.engines["near"].most)
				}
			})
		})
	}
}

func TestRetriesAreAShareOfTraffic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2")
		tries := 0
		for _, engine := range world.engines {
			engine.generate = map[string]error{"b": &upstream.RefusedError{Status: 503, Reason: "full"}}
			engine.tried = &tries
		}
		dispatcher := world.dispatcher(Settings{})
		kinds := map[outcome.Kind]int{}
		const sent = 400
		for range sent {
			kinds[outcome.From(dispatcher.Do(t.Context(), chat("b"), &fakeSink{})).Kind]++
		}
		if tries > sent+sent/10+32 {
			t.Errorf("%d requests made %d attempts", sent, tries)
		}
		if kinds[outcome.RetriesSpent] == 0 || len(kinds) > 2 {
			t.Errorf("the requests ended as %v", kinds)
		}
	})
}

func TestServiceCallThatMayNotRepeatIsSentOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2")
		dispatcher := world.dispatcher(Settings{})
		services := &fakeServices{err: upstream.ErrNoResponse}
		dispatcher.deps.Services = services
		req := chat("charge")
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

func (services *fakeServices) Call(context.Context, string, request.Request) (Answer, error) {
	services.calls++
	return Answer{Status: 200, ContentType: "text/plain", Body: []byte("done")}, services.err
}
