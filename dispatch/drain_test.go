package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
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
