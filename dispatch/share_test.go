package dispatch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// TestFloodDelaysTenantNearItsShareLittle measures a tenant that offers a third of the capacity of one
// upstream, alone and beside a tenant that floods it with five times its capacity.
func TestFloodDelaysTenantNearItsShareLittle(t *testing.T) {
	for _, seed := range []uint64{3, 5, 11} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { floodNearShare(t, seed) })
	}
}

func floodNearShare(t *testing.T, seed uint64) {
	const capacity = 16.0
	run := func(flood float64) (light *simResult) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			world := newSimWorld(1, 1, 16, 1)
			var all, duty sync.WaitGroup
			duty.Go(func() { world.follow(ctx) })
			if flood > 0 {
				all.Go(func() {
					heavy := world.offer(ctx, "heavy", flood, 310*time.Second, 5*time.Second, 2)
					t.Logf("heavy: %d answered, refused %v", len(heavy.whole), heavy.refusals)
				})
				time.Sleep(10 * time.Second)
			}
			light = world.offer(ctx, "light", capacity/3, 300*time.Second, 5*time.Second, seed)
			all.Wait()
			stop()
			duty.Wait()
		})
		return light
	}
	alone, beside := run(0), run(5*capacity)
	for _, part := range []float64{0.5, 0.95, 0.99} {
		t.Logf("p%.0f alone: begin %s, end %s; beside a flood: begin %s, end %s", part*100,
			quantile(alone.begun, part), quantile(alone.whole, part), quantile(beside.begun, part), quantile(beside.whole, part))
	}
	if len(beside.refusals) > 0 {
		t.Errorf("requests of the light tenant were refused: %v", beside.refusals)
	}
	before, after := quantile(alone.begun, 0.99), quantile(beside.begun, 0.99)
	if after > before+before/10 {
		t.Errorf("the flood moves the begin of the light tenant's answers at p99 from %s to %s", before, after)
	}
}

// TestEndedBurstKeepsNothingForLong follows what is kept for a tenant after it asked for all slots.
func TestEndedBurstKeepsNothingForLong(t *testing.T) {
	start := time.Unix(1000, 0)
	lane := &lane{peaks: map[string]peak{}}
	lane.notice("a", 0, start)
	lane.notice("a", 16, start)
	lane.notice("a", 0, start.Add(10*time.Second))
	for _, c := range []struct {
		after time.Duration
		most  float64
	}{{0, 16}, {30 * time.Second, 6}, {60 * time.Second, 2}} {
		if got := lane.peaks["a"].needs(start.Add(10*time.Second + c.after)); got <= 0 || got > c.most {
			t.Errorf("%s after the burst %.1f slots are kept, want at most %.0f", c.after, got, c.most)
		}
	}
}
