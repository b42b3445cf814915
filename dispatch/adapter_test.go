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
