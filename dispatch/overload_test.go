package dispatch

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
)

// The simulated data centre: 4 daemons and 6 replicas of 16 slots, where a request takes 1 s on average.
const (
	simDaemons  = 4
	simEngines  = 6
	simSlots    = 16
	simDeadline = 3 * time.Second
	simCapacity = float64(simEngines * simSlots)
)

// TestFloodDelaysOthersLittle measures the latency of a light tenant alone and beside one that floods every
// daemon with five times the capacity.
func TestFloodDelaysOthersLittle(t *testing.T) {
	const (
		// length is the time in which the light tenant sends requests, and lead that in which the flood comes before.
		length = 100 * time.Second
		lead   = 10 * time.Second
	)
	run := func(flood float64) (light *simResult) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			cluster := newSimCluster(simDaemons, simEngines, simSlots, 1)
			var all, task sync.WaitGroup
			task.Go(func() { cluster.refreshReports(ctx) })
			if flood > 0 {
				all.Go(func() {
					heavy := cluster.sendRequests(ctx, "heavy", flood, lead+length, 5*time.Second, 2)
					t.Logf("heavy: %d answered, refused %v", len(heavy.totalTimes), heavy.refusals)
				})
				time.Sleep(lead)
			}
			light = cluster.sendRequests(ctx, "light", 8, length, 5*time.Second, 3)
			all.Wait()
			stop()
			task.Wait()
		})
		return light
	}
	alone, beside := run(0), run(5*simCapacity)
	for _, part := range []float64{0.5, 0.95, 0.99} {
		t.Logf("p%.0f alone: begin %s, end %s; beside a flood: begin %s, end %s", part*100,
			quantile(alone.startTimes, part), quantile(alone.totalTimes, part), quantile(beside.startTimes, part), quantile(beside.totalTimes, part))
	}
	if len(beside.refusals) > 0 {
		t.Errorf("requests of the light tenant were refused: %v", beside.refusals)
	}
	before, after := quantile(alone.totalTimes, 0.99), quantile(beside.totalTimes, 0.99)
	if after > before+before/10 {
		t.Errorf("the flood raises the light tenant's p99 from %s to %s", before, after)
	}
	if before, after := quantile(alone.startTimes, 0.99), quantile(beside.startTimes, 0.99); after > before+before/10 {
		t.Errorf("the flood raises the p99 of the time to the begin of the light tenant's responses from %s to %s", before, after)
	}
}

// TestGoodputUnderOverload measures responses that begin in time at once, twice and five times the capacity.
func TestGoodputUnderOverload(t *testing.T) {
	const length = 30 * time.Second
	run := func(times float64) (goodput float64) {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			cluster := newSimCluster(simDaemons, simEngines, simSlots, 1)
			var all, task sync.WaitGroup
			task.Go(func() { cluster.refreshReports(ctx) })
			for n, tenant := range []string{"a", "b", "c"} {
				all.Go(func() {
					got := cluster.sendRequests(ctx, tenant, times*simCapacity/3, length, simDeadline, uint64(n))
					t.Logf("%gx %s: %d answered, %d late, refused %v after p50 %s p95 %s p99 %s", times, tenant, len(got.totalTimes), got.late, got.refusals,
						quantile(got.refused, 0.5), quantile(got.refused, 0.95), quantile(got.refused, 0.99))
					checkRefusals(t, got)
					cluster.mutex.Lock()
					defer cluster.mutex.Unlock()
					goodput += float64(got.good) / length.Seconds()
				})
			}
			all.Wait()
			stop()
			task.Wait()
		})
		return goodput
	}
	base := run(1)
	for _, times := range []float64{2, 5} {
		goodput := run(times)
		t.Logf("goodput %.1f/s at 1x, %.1f/s at %gx (%.0f%%), capacity %.0f/s", base, goodput, times, 100*goodput/base, simCapacity)
		if goodput < 0.9*base {
			t.Errorf("goodput falls to %.0f%% at %gx", 100*goodput/base, times)
		}
	}
}

func checkRefusals(t *testing.T, got *simResult) {
	t.Helper()
	for kind, count := range got.refusals {
		switch kind {
		case outcome.DeadlineUnmeetable, outcome.QueueFull, outcome.TenantLimit:
		default:
			t.Errorf("%d requests ended as %s", count, kind)
		}
	}
	if late := quantile(got.refused, 0.99); late > simDeadline*3/4 || got.withoutRetryAfter > 0 {
		t.Errorf("the p99 of the time to a refusal is %s; %d refusals have no Retry-After delay", late, got.withoutRetryAfter)
	}
}
