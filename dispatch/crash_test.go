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

// fakePeers publishes suspects to the registries of all daemons immediately.
type fakePeers struct {
	mutex      sync.Mutex
	registries []*quarantine.Registry
	arbiter    *quarantine.Arbiter
}

// join adds the registry of a daemon and copies the known suspects to it.
func (peers *fakePeers) join(registry *quarantine.Registry) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, other := range peers.registries {
		registry.Import(other.Export(time.Now()), time.Now())
	}
	peers.registries = append(peers.registries, registry)
}

func (peers *fakePeers) Reserve(_ context.Context, upstream, holder string) (func(), bool) {
	ok := peers.arbiter.Reserve(upstream, holder, time.Now())
	return func() { peers.arbiter.Release(upstream, holder) }, ok
}

func (peers *fakePeers) Publish(_ context.Context, suspects []quarantine.Suspect) {
	peers.mutex.Lock()
	defer peers.mutex.Unlock()
	for _, registry := range peers.registries {
		registry.Import(suspects, time.Now())
	}
}

// TestCrashRequestLosesAtMostTwoUpstreams sends a request that crashes its upstreams repeatedly through three
// daemons, beside harmless requests.
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
	cluster := newCluster("u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8")
	for _, engine := range cluster.engines {
		engine.poison = "poison"
		engine.pieces, engine.reports = 20, true
	}
	peers := &fakePeers{arbiter: quarantine.NewArbiter()}
	var daemons []*Dispatcher
	for range 3 {
		daemon := cluster.dispatcher(Settings{})
		daemon.deps.Suspects = peers
		peers.join(daemon.registry)
		daemons = append(daemons, daemon)
	}
	var innocents, poison sync.WaitGroup
	for n := range beside {
		innocents.Go(func() {
			sink := &fakeSink{}
			if err := daemons[n%3].Do(t.Context(), chatRequest(fmt.Sprint("innocent", n)), sink); err != nil {
				t.Errorf("an innocent request ended with %v", err)
			}
		})
	}
	synctest.Wait()
	for n := range 9 {
		poison.Go(func() {
			req := chatRequest("poison")
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
	down := 0
	for _, engine := range cluster.engines {
		if engine.down {
			down++
		}
	}
	if down > 2 {
		t.Errorf("%d upstreams were lost", down)
	}
	if err := daemons[0].Do(t.Context(), chatRequest("poison"), &fakeSink{}); !outcome.Is(err, outcome.Quarantined) {
		t.Errorf("a resend after two crashes ended with %v", err)
	}
}

// TestCrashRequestOfImpatientCaller sends the crash request repeatedly and disconnects before any crash is
// visible.
func TestCrashRequestOfImpatientCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2", "u3", "u4", "u5")
		peers := &fakePeers{arbiter: quarantine.NewArbiter()}
		var daemons []*Dispatcher
		for range 3 {
			daemon := cluster.dispatcher(Settings{})
			daemon.deps.Suspects = peers
			peers.join(daemon.registry)
			daemons = append(daemons, daemon)
		}
		for _, engine := range cluster.engines {
			engine.poison = "poison"
		}
		for n := range 60 {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Millisecond)
			_ = daemons[n%3].Do(ctx, chatRequest("poison"), &fakeSink{})
			cancel()
			time.Sleep(50 * time.Millisecond)
		}
		crashes := 0
		for _, engine := range cluster.engines {
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

// TestEqualRequestsWaitBriefly sends more equal requests at once than one upstream has slots.
func TestEqualRequestsWaitBriefly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1", "u2")
		for _, engine := range cluster.engines {
			engine.pieces, engine.gap = 100, 100*time.Millisecond
		}
		dispatcher := cluster.dispatcher(Settings{})
		var all sync.WaitGroup
		for range 8 {
			all.Go(func() {
				if err := dispatcher.Do(t.Context(), chatRequest("equal"), &fakeSink{}); err != nil {
					t.Error(err)
				}
			})
		}
		for _, want := range []int{1, 2} {
			time.Sleep(1500 * time.Millisecond)
			used := 0
			for _, engine := range cluster.engines {
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
