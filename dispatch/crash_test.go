package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/quarantine"
)

// fakePeers hands suspects to the books of other daemons at once.
type fakePeers struct {
	mutex   sync.Mutex
	books   []*quarantine.Registry
	arbiter *quarantine.Arbiter
}

// join adds the book of a daemon that learns what the others know.
func (peers *fakePeers) join(book *quarantine.Registry) {
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
