package dispatch

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/upstream"
)

// fakePeers hands suspects to the books of other daemons at once.
type fakePeers struct {
	mutex   sync.Mutex
	books   []*quarantine.Book
	arbiter *quarantine.Arbiter
}

// join adds the book of a daemon that learns what the others know.
func (peers *fakePeers) join(book *quarantine.Book) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, other := range peers.books {
		book.Import(other.Export(time.Now()), time.Now())
	}
	peers.books = append(peers.books, book)
}

func (peers *fakePeers) Reserve(_ context.Context, upstream, holder string) (func(), bool) {
	ok := peers.arbiter.Reserve(upstream, holder, time.Now())
	return func() { peers.arbiter.Release(upstream, holder) }, ok
}

func (peers *fakePeers) Publish(_ context.Context, suspects []quarantine.Suspect) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, book := range peers.books {
		book.Import(suspects, time.Now())
	}
}

// TestCrashRequestLosesAtMostTwoUpstreams sends a request that crashes its upstreams again and again
// through three daemons, beside innocent requests.
func TestCrashRequestLosesAtMostTwoUpstreams(t *testing.T) {
	for _, atOnce := range []bool{false, true} {
		for _, innocents := range []int{12, 20} {
			t.Run(fmt.Sprint("at once ", atOnce, " beside ", innocents), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { crashRequest(t, atOnce, innocents) })
			})
		}
	}
}

func crashRequest(t *testing.T, atOnce bool, beside int) {
	world := newWorld("u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8")
	for _, engine := range world.engines {
		engine.poison = "poison"
		engine.pieces, engine.reports = 20, true
	}
	peers := &fakePeers{arbiter: quarantine.NewArbiter()}
	var daemons []*Dispatcher
	for range 3 {
		daemon := world.dispatcher(Settings{})
		daemon.deps.Suspects = peers
		peers.join(daemon.book)
		daemons = append(daemons, daemon)
	}
	var innocents, poison sync.WaitGroup
	for n := range beside {
		innocents.Go(func() {
			sink := &fakeSink{}
			if err := daemons[n%3].Do(t.Context(), chat(fmt.Sprint("innocent", n)), sink); err != nil {
				t.Errorf("an innocent request ended with %v", err)
			}
		})
	}
	synctest.Wait()
	for n := range 9 {
		poison.Go(func() {
			req := chat("poison")
			req.ID = fmt.Sprint("poison", n)
			err := daemons[n%3].Do(t.Context(), req, &fakeSink{})
			if !outcome.Is(err, outcome.UpstreamLost) && !outcome.Is(err, outcome.Quarantined) && !outcome.Is(err, outcome.UpstreamRefused) {
				t.Errorf("the crash request ended with %v", err)
			}
		})
		if !atOnce {
			poison.Wait()
		}
	}
	poison.Wait()
	innocents.Wait()
	dead := 0
	for _, engine := range world.engines {
		if engine.dead {
			dead++
		}
	}
	if dead > 2 {
		t.Errorf("%d upstreams were lost", dead)
	}
	if err := daemons[0].Do(t.Context(), chat("poison"), &fakeSink{}); !outcome.Is(err, outcome.Quarantined) {
		t.Errorf("a resend after two crashes ended with %v", err)
	}
}

// TestCrashRequestOfImpatientCaller sends the request again and again and leaves before any crash shows.
func TestCrashRequestOfImpatientCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2", "u3", "u4", "u5")
		peers := &fakePeers{arbiter: quarantine.NewArbiter()}
		var daemons []*Dispatcher
		for range 3 {
			daemon := world.dispatcher(Settings{})
			daemon.deps.Suspects = peers
			peers.join(daemon.book)
			daemons = append(daemons, daemon)
		}
		for _, engine := range world.engines {
			engine.poison = "poison"
		}
		for n := range 60 {
			ctx, leave := context.WithTimeout(t.Context(), 5*time.Millisecond)
			_ = daemons[n%3].Do(ctx, chat("poison"), &fakeSink{})
			leave()
			time.Sleep(50 * time.Millisecond)
		}
		crashes := 0
		for _, engine := range world.engines {
			crashes += engine.crashes
		}
		if crashes > 2 {
			t.Errorf("%d upstreams were lost", crashes)
		}
		for _, daemon := range daemons {
			daemon.Drain(t.Context())
		}
	})
}

func TestAdapterIsLoadedOnceForManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1")
		dispatcher := world.dispatcher(Settings{})
		var all sync.WaitGroup
		for n := range 4 {
			all.Go(func() {
				req := chat(fmt.Sprint("b", n))
				req.Target.Adapter = "style"
				if err := dispatcher.Do(t.Context(), req, &fakeSink{}); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		if loaded := world.engines["u1"].adapters; !slices.Equal(loaded, []string{"style"}) {
			t.Errorf("the loads were %v", loaded)
		}
	})
}

// TestAdapterThatReportsStillName loads an adapter that another daemon removed since the report.
func TestAdapterThatReportsStillName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1")
		world.engines["u1"].needs, world.engines["u1"].listed = true, []string{"style"}
		dispatcher := world.dispatcher(Settings{})
		for n := range 3 {
			req := chat(fmt.Sprint("b", n))
			req.Target.Adapter = "style"
			if err := dispatcher.Do(t.Context(), req, &fakeSink{}); err != nil {
				t.Error(err)
			}
		}
		if loaded := world.engines["u1"].adapters; !slices.Equal(loaded, []string{"style"}) {
			t.Errorf("the loads were %v", loaded)
		}
	})
}

// TestEqualRequestsWaitBriefly sends more equal requests at once than one upstream holds.
func TestEqualRequestsWaitBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := newWorld("u1", "u2")
		for _, engine := range world.engines {
			engine.pieces, engine.gap = 100, 100*time.Millisecond
		}
		dispatcher := world.dispatcher(Settings{})
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				if err := dispatcher.Do(t.Context(), chat("equal"), &fakeSink{}); err != nil {
					t.Error(err)
				}
			})
		}
		for _, want := range []int{1, 2} {
			time.Sleep(1500 * time.Millisecond)
			used := 0
			for _, engine := range world.engines {
				engine.mutex.Lock()
				used += min(engine.active, 1)
				engine.mutex.Unlock()
			}
			if used != want {
				t.Errorf("%d upstreams run the requests, want %d", used, want)
			}
		}
		all.Wait()
	})
}

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
		services := &fakeServices{err: upstream.ErrNoAnswer}
		dispatcher.deps.Services = services
		req := chat("charge")
		req.Form, req.Service, req.Stream, req.Idempotent = request.ServiceCall, "tickets", false, false
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
