package bookstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/keepwarm"
)

// TestSuccessorKnowsWhatWasLearnt lets one keeper learn through an outage of
// the platform and end, and asks its successor at dawn.
func TestSuccessorKnowsWhatWasLearnt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newStore()
		keeper := func(saver string) (*Learner, context.CancelFunc) {
			settings := Settings{Saver: saver, Costs: keepwarm.Costs{ColdStart: 1, IdleHour: 20}}
			keeper := NewLearner(settings, setup.store, clock.RealClock{})
			keeper.Describe("planner", keepwarm.Properties{Accelerators: 1, ColdStart: 30 * time.Second})
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = keeper.Run(ctx) }()
			return keeper, cancel
		}
		former, stop := keeper("former")
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
		successor, stop := keeper("successor")
		defer synctest.Wait()
		defer stop()
		synctest.Wait()
		night := time.Now().Add(2 * time.Hour)
		if got := successor.Wanted("planner", night); got != 0 {
			t.Errorf("wanted at night: %d", got)
		}
		dawn := time.Now().Add(5 * time.Hour)
		if got := successor.Wanted("planner", dawn); got != 1 {
			t.Errorf("wanted at dawn: %d", got)
		}
		successor.Forget("planner")
		if got := successor.Wanted("planner", dawn); got != 0 {
			t.Errorf("wanted after the withdrawal: %d", got)
		}
	})
}

// TestSecondReignOfOneProcessSaves lets one process decide twice, with a pause between.
func TestSecondReignOfOneProcessSaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		setup := newStore()
		reign := func() {
			keeper := NewLearner(Settings{Saver: "entry-1"}, setup.store, clock.RealClock{})
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = keeper.Run(ctx) }()
			synctest.Wait()
			keeper.Observe("planner", 1)
			time.Sleep(time.Hour)
			cancel()
			synctest.Wait()
		}
		reign()
		first := content(t, setup.store)
		reign()
		if content(t, setup.store) == first {
			t.Error("what the second reign learnt is not saved")
		}
	})
}
