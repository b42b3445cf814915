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
			cluster := newSimCluster(1, 1, 16, 1)
			var all, task sync.WaitGroup
			task.Go(func() { cluster.refreshReports(ctx) })
			if flood > 0 {
				all.Go(func() {
					heavy := cluster.sendRequests(ctx, "heavy", flood, 310*time.Second, 5*time.Second, 2)
					t.Logf("heavy: %d answered, refused %v", len(heavy.totalTimes), heavy.refusals)
				})
				time.Sleep(10 * time.Second)
			}
			light = cluster.sendRequests(ctx, "light", capacity/3, 300*time.Second, 5*time.Second, seed)
			all.Wait()
			stop()
			task.Wait()
		})
		return light
	}
	alone, beside := run(0), run(5*capacity)
	for _, part := range []float64{0.5, 0.95, 0.99} {
		t.Logf("p%.0f alone: begin %s, end %s; beside a flood: begin %s, end %s", part*100,
			quantile(alone.startTimes, part), quantile(alone.totalTimes, part), quantile(beside.startTimes, part), quantile(beside.totalTimes, part))
	}
	if len(beside.refusals) > 0 {
		t.Errorf("requests of the light tenant were refused: %v", beside.refusals)
	}
	before, after := quantile(alone.startTimes, 0.99), quantile(beside.startTimes, 0.99)
	if after > before+before/10 {
		t.Errorf("the flood raises the p99 of the time to the begin of the light tenant's responses from %s to %s", before, after)
	}
}

// TestEndedBurstReleasesKeptSlots checks how fast the slots kept for a tenant decrease after it used all
// slots.
func TestEndedBurstReleasesKeptSlots(t *testing.T) {
	start := time.Unix(1000, 0)
	workload := &workload{peaks: map[string]peak{}}
	workload.recordDemand("a", 0, start)
	workload.recordDemand("a", 16, start)
	workload.recordDemand("a", 0, start.Add(10*time.Second))
	for _, c := range []struct {
		after time.Duration
		most  float64
	}{{0, 16}, {30 * time.Second, 6}, {60 * time.Second, 2}} {
		if got := workload.peaks["a"].slotsNeeded(start.Add(10*time.Second + c.after)); got <= 0 || got > c.most {
			t.Errorf("%s after the burst %.1f slots are kept, want at most %.0f", c.after, got, c.most)
		}
	}
}
