package learner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/keepwarm"
)

// TestSuccessorRestoresStatistics guards against statistics that are lost when the deciding process changes. One
// learner observes arrivals through an outage of the platform; its successor must want the model before 05:00, the
// time of the arrivals.
func TestSuccessorRestoresStatistics(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newStore()
		learner := func(saver string) (*Learner, context.CancelFunc) {
			settings := Settings{Saver: saver, Costs: keepwarm.Costs{ColdStart: 1, IdleHour: 20}}
			learner := New(settings, setup.store, clock.RealClock{})
			learner.Describe("planner", keepwarm.Properties{Accelerators: 1, ColdStart: 30 * time.Second})
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = learner.Run(ctx) }()
			return learner, cancel
		}
		former, stop := learner("former")
		for day := range 8 {
			setup.platform.SetDown(day == 3)
			time.Sleep(5 * time.Hour)
			for range 10 {
				former.Observe("planner", 1)
				time.Sleep(2 * time.Minute)
			}
			time.Sleep(24*time.Hour - 5*time.Hour - 20*time.Minute)
		}
		stop()
		successor, stop := learner("successor")
		defer synctest.Wait()
		defer stop()
		synctest.Wait()
		night := time.Now().Add(2 * time.Hour)
		if got := successor.Wanted("planner", night); got != 0 {
			t.Errorf("wanted at night: %d", got)
		}
		morning := time.Now().Add(5 * time.Hour)
		if got := successor.Wanted("planner", morning); got != 1 {
			t.Errorf("wanted at 05:00: %d", got)
		}
		successor.Forget("planner")
		if got := successor.Wanted("planner", morning); got != 0 {
			t.Errorf("wanted after the withdrawal: %d", got)
		}
	})
}

// TestSecondTermOfOneProcessIsSaved covers a process that decides twice, with a pause in between. The changes of its
// second learner must not be mistaken for those of the first.
func TestSecondTermOfOneProcessIsSaved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newStore()
		term := func() {
			learner := New(Settings{Saver: "entry-1"}, setup.store, clock.RealClock{})
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = learner.Run(ctx) }()
			synctest.Wait()
			learner.Observe("planner", 1)
			time.Sleep(time.Hour)
			cancel()
			synctest.Wait()
		}
		term()
		first := content(t, setup.store)
		term()
		if content(t, setup.store) == first {
			t.Error("the observations of the second term are not saved")
		}
	})
}
