package engine

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/standin/weights"
	"github.com/bronzestall/bronzestall/upstream"
)

const gib = 1 << 30

// runInBubble runs the test with a new server in a bubble of testing/synctest.
func runInBubble(t *testing.T, settings Settings, test func(t *testing.T, server *Server)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		settings.Name = "e1"
		server := New(settings, clock.RealClock{})
		defer server.Close()
		test(t, server)
	})
}

func loadOrder(id, model string, memory int64) upstream.Order {
	return upstream.Order{ID: id, Verb: upstream.Load, Model: model, Version: "1", Memory: memory}
}

// sendOrder executes the order and checks its verdict.
func sendOrder(t *testing.T, server *Server, order upstream.Order, want upstream.Verdict) {
	t.Helper()
	if verdict, err := server.HandleOrder(t.Context(), order); err != nil || verdict != want {
		t.Errorf("order %s gave %s, %v, not %s", order.ID, verdict, err, want)
	}
}

func phaseOf(server *Server, model string) upstream.Phase {
	for _, replica := range server.State().Replicas {
		if replica.Model == model {
			return replica.Phase
		}
	}
	return ""
}

func TestMemoryIsNeverOvercommitted(t *testing.T) {
	runInBubble(t, Settings{Capacity: 10 * gib}, func(t *testing.T, server *Server) {
		sendOrder(t, server, loadOrder("1", "a", 6*gib), upstream.Accepted)
		sendOrder(t, server, loadOrder("2", "b", 6*gib), upstream.NoMemory)
		sendOrder(t, server, loadOrder("1", "a", 6*gib), upstream.Accepted)
		sendOrder(t, server, loadOrder("3", "a", 6*gib), upstream.Accepted)
		time.Sleep(time.Minute)
		sendOrder(t, server, upstream.Order{ID: "4", Verb: upstream.Unload, Model: "a", Version: "1"}, upstream.Accepted)
		sendOrder(t, server, loadOrder("1", "a", 6*gib), upstream.Accepted)
		sendOrder(t, server, loadOrder("5", "b", 6*gib), upstream.Accepted)
		time.Sleep(time.Minute)
		if phaseOf(server, "a") != "" || phaseOf(server, "b") != upstream.Ready {
			t.Errorf("replicas are %+v", server.State().Replicas)
		}
		counts := server.Counts()
		if counts.OvercommitAttempts != 1 || counts.MemoryPeak != 6*gib || counts.Loads["a@1"] != 1 {
			t.Errorf("counts are %+v", counts)
		}
	})
}

func TestFencingIsOptional(t *testing.T) {
	for _, checks := range []bool{true, false} {
		runInBubble(t, Settings{ChecksFencing: checks}, func(t *testing.T, server *Server) {
			old, other := upstream.Accepted, upstream.Accepted
			if checks {
				old, other = upstream.Fenced, upstream.WrongBoot
			}
			sendOrder(t, server, upstream.Order{ID: "1", Verb: upstream.Touch, Fence: 7}, upstream.Accepted)
			sendOrder(t, server, upstream.Order{ID: "2", Verb: upstream.Touch, Fence: 6}, old)
			sendOrder(t, server, upstream.Order{ID: "3", Verb: upstream.Touch, Fence: 8, BootID: "another"}, other)
		})
	}
}

func TestLoadTimeDependsOnTier(t *testing.T) {
	cases := []struct {
		tier upstream.Tier
		want time.Duration
	}{
		{upstream.Memory, time.Second},
		{upstream.Disk, 5 * time.Second},
		{upstream.Remote, 11 * time.Second},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			store := weights.New(weights.Settings{BytesPerSecond: 4 * gib}, clock.RealClock{})
			server := New(Settings{Fetch: store.Fetch}, clock.RealClock{})
			defer server.Close()
			server.CacheCheckpoint("a", "1", 40*gib, c.tier)
			sendOrder(t, server, loadOrder("1", "a", 40*gib), upstream.Accepted)
			time.Sleep(c.want - time.Millisecond)
			if got := phaseOf(server, "a"); got != upstream.Loading {
				t.Errorf("tier %d: %s before %s", c.tier, got, c.want)
			}
			time.Sleep(2 * time.Millisecond)
			if got := phaseOf(server, "a"); got != upstream.Ready {
				t.Errorf("tier %d: %s after %s", c.tier, got, c.want)
			}
		})
	}
}

func TestCrashClearsMemory(t *testing.T) {
	runInBubble(t, Settings{}, func(t *testing.T, server *Server) {
		sendOrder(t, server, loadOrder("1", "a", gib), upstream.Accepted)
		time.Sleep(time.Minute)
		before := server.State()
		server.Crash()
		after := server.State()
		if after.BootID == before.BootID || len(after.Replicas) != 0 || after.Checkpoints["a@1"] != upstream.Disk {
			t.Errorf("state after the crash is %+v", after)
		}
		if !server.isDown() {
			t.Error("engine accepts requests right after the crash")
		}
		time.Sleep(defaultRestartAfter)
		if server.isDown() {
			t.Error("engine does not accept requests after the restart")
		}
	})
}

func TestAdapterEvictionIsLRU(t *testing.T) {
	runInBubble(t, Settings{}, func(t *testing.T, server *Server) {
		order := loadOrder("1", "a", gib)
		order.AdapterSlots = 2
		sendOrder(t, server, order, upstream.Accepted)
		time.Sleep(time.Minute)
		adapter := func(name string) upstream.Order {
			return upstream.Order{ID: "load " + name, Verb: upstream.LoadAdapter, Model: "a", Version: "1", Adapter: name}
		}
		sendOrder(t, server, adapter("x"), upstream.Accepted)
		sendOrder(t, server, adapter("y"), upstream.Accepted)
		server.boot.replicas["a@1"].adapter("x").users = 1
		sendOrder(t, server, adapter("z"), upstream.Accepted)
		if got := server.State().Replicas[0].Adapters; !slices.Equal(got, []string{"x", "z"}) {
			t.Errorf("adapters are %v", got)
		}
		server.boot.replicas["a@1"].adapter("z").users = 1
		again := adapter("y")
		again.ID = "again"
		sendOrder(t, server, again, upstream.NoMemory)
	})
}

func TestConcurrentAdapterTransfersSlowDown(t *testing.T) {
	for _, transfers := range []int{32, 96} {
		synctest.Test(t, func(t *testing.T) {
			store := weights.New(weights.Settings{}, clock.RealClock{})
			start := time.Now()
			var all sync.WaitGroup
			var slowest time.Duration
			for range transfers {
				all.Go(func() {
					if err := store.Fetch(context.Background(), "same", 0, true); err != nil {
						t.Error(err)
					}
				})
			}
			all.Wait()
			slowest = time.Since(start)
			factor := time.Duration(transfers / 32)
			if slowest < factor*5*time.Millisecond || slowest > factor*14*time.Millisecond {
				t.Errorf("%d concurrent transfers took %s", transfers, slowest)
			}
			if peak := store.Counts().AdaptersPeak; peak != transfers {
				t.Errorf("peak is %d", peak)
			}
		})
	}
}

func TestWeightStoreCountsLoadsAboveRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := weights.New(weights.Settings{LoadsPerSecond: 2, LoadsAtOnce: 4}, clock.RealClock{})
		for i := range 6 {
			if err := store.Fetch(t.Context(), fmt.Sprint(i), 1, false); err != nil {
				t.Fatal(err)
			}
		}
		if over := store.Counts().OverRate; over != 2 {
			t.Errorf("%d loads above the rate", over)
		}
		store.SetFaults(weights.Faults{Absent: true})
		if err := store.Fetch(t.Context(), "x", 1, false); err == nil || errors.Is(err, context.Canceled) {
			t.Errorf("unavailable store gave %v", err)
		}
	})
}
