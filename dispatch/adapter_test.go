package dispatch

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
)

func TestAdapterIsLoadedOnceForManyRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1")
		dispatcher := cluster.dispatcher(Settings{})
		var all sync.WaitGroup
		for n := range 4 {
			all.Go(func() {
				req := chatRequest(fmt.Sprint("b", n))
				req.Target.Adapter = "style"
				if err := dispatcher.Do(t.Context(), req, &fakeSink{}); err != nil {
					t.Error(err)
				}
			})
		}
		all.Wait()
		if loaded := cluster.engines["u1"].adapters; !slices.Equal(loaded, []string{"style"}) {
			t.Errorf("the engine loaded %v", loaded)
		}
	})
}

// TestReportedAdapterThatWasUnloaded guards against trusting a stale report: another daemon unloaded the
// adapter since the replica reported it.
func TestReportedAdapterThatWasUnloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newCluster("u1")
		cluster.engines["u1"].requiresAdapter, cluster.engines["u1"].listed = true, []string{"style"}
		dispatcher := cluster.dispatcher(Settings{})
		for n := range 3 {
			req := chatRequest(fmt.Sprint("b", n))
			req.Target.Adapter = "style"
			if err := dispatcher.Do(t.Context(), req, &fakeSink{}); err != nil {
				t.Error(err)
			}
		}
		if loaded := cluster.engines["u1"].adapters; !slices.Equal(loaded, []string{"style"}) {
			t.Errorf("the engine loaded %v", loaded)
		}
	})
}
