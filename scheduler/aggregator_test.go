package scheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"reflect"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/demand"
	"github.com/bronzestall/bronzestall/directory"
	"github.com/bronzestall/bronzestall/mesh"
	"github.com/bronzestall/bronzestall/residency"
	"github.com/bronzestall/bronzestall/topology"
)

var epoch = time.Unix(1000, 0)

// randomReport returns a random report of one of 4 daemons about 3 models and 2 engines.
func randomReport(random *rand.Rand) mesh.Report {
	report := mesh.Report{Name: fmt.Sprintf("d%d", random.IntN(4)), Partial: random.IntN(3) == 0, InFlight: mesh.InFlightCounts{}}
	for model := range 3 {
		for _, adapter := range []string{"", "a1"} {
			if random.IntN(2) == 0 {
				continue
			}
			key := demand.Key{Service: "s", Model: fmt.Sprintf("m%d", model), Adapter: adapter}
			keyDemand := demand.KeyDemand{Key: key, Rate: float64(random.IntN(8)), LastArrival: epoch.Add(time.Duration(random.IntN(9)) * time.Second)}
			if keyDemand.Waiting = random.IntN(3); keyDemand.Waiting > 0 {
				keyDemand.Oldest = epoch.Add(time.Duration(random.IntN(9)) * time.Second)
			}
			keyDemand.Target = time.Duration(random.IntN(4)) * time.Second
			report.Demand = append(report.Demand, keyDemand)
			engine := topology.Incarnation{ID: fmt.Sprintf("e%d", random.IntN(2))}
			report.InFlight[demand.ReplicaKey{Incarnation: engine, Key: key}] = demand.OneWaiting(random.IntN(demand.Priorities))
		}
	}
	return report
}

// TestIncrementalSumsMatchRecomputedSums guards against drift of the sums, which are updated by the difference
// between successive reports instead of being summed over hundreds of daemons each time.
func TestIncrementalSumsMatchRecomputedSums(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	incremental := newAggregator()
	now := epoch
	for step := range 500 {
		now = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
		incremental.add(randomReport(random), now)
		incremental.expire(now)
		recomputed := newAggregator()
		for name, known := range incremental.reports {
			report := mesh.Report{Name: name, InFlight: known.inFlight}
			for _, keyDemand := range known.demands {
				report.Demand = append(report.Demand, keyDemand)
			}
			recomputed.add(report, known.receivedAt)
		}
		compareAggregators(t, step, incremental, recomputed)
	}
}

func compareAggregators(t *testing.T, step int, got, want *aggregator) {
	t.Helper()
	first, second := got.serviceTotals("s"), want.serviceTotals("s")
	for name, pair := range map[string][2]map[string]residency.Demand{
		"models": {first.models, second.models}, "adapters": {first.adapters, second.adapters},
	} {
		if len(pair[0]) != len(pair[1]) {
			t.Fatalf("step %d: %d %s, want %d", step, len(pair[0]), name, len(pair[1]))
		}
		for key, a := range pair[0] {
			b := pair[1][key]
			if a.Waiting != b.Waiting || a.Running != b.Running || math.Abs(a.Rate-b.Rate) > 1e-6 || !a.Oldest.Equal(b.Oldest) || a.Target != b.Target || a.LastArrival.Before(b.LastArrival) {
				t.Fatalf("step %d: %s is %+v, want %+v", step, key, a, b)
			}
		}
	}
	if !reflect.DeepEqual(first.running, second.running) || !reflect.DeepEqual(first.adaptersRunning, second.adaptersRunning) {
		t.Fatalf("step %d: running %v, want %v", step, first.running, second.running)
	}
	if !reflect.DeepEqual(got.inFlight, want.inFlight) || !reflect.DeepEqual(got.waiting, want.waiting) {
		t.Fatalf("step %d: in flight %v, want %v", step, got.inFlight, want.inFlight)
	}
	for daemon := range got.reports {
		if !reflect.DeepEqual(got.inFlightOfOthers(daemon), want.inFlightOfOthers(daemon)) {
			t.Fatalf("step %d: in flight without %s is %v, want %v", step, daemon, got.inFlightOfOthers(daemon), want.inFlightOfOthers(daemon))
		}
	}
}

// TestReportsOutliveReportInterval guards against expiring live daemons of large fleets, where each sends a
// full report only every few seconds.
func TestReportsOutliveReportInterval(t *testing.T) {
	for _, daemons := range []int{4, 30, 118, 363, 1000} {
		aggregator := newAggregator()
		for daemon := range daemons {
			aggregator.add(mesh.Report{Name: fmt.Sprintf("d%d", daemon)}, epoch)
		}
		interval := 250*time.Millisecond + time.Duration(daemons)*8*time.Millisecond
		if aggregator.expire(epoch.Add(2 * interval)); len(aggregator.reports) != daemons {
			t.Errorf("%d daemons: %d reports are left after two intervals", daemons, len(aggregator.reports))
		}
		if aggregator.expire(epoch.Add(time.Minute)); len(aggregator.reports) != 0 || len(aggregator.serviceTotals("s").models) != 0 {
			t.Errorf("%d daemons: %d reports are left after a minute", daemons, len(aggregator.reports))
		}
	}
}

// TestAnnouncementsAreBatchedUnlessRequestsWait covers a large fleet with many orders a second: a daemon whose
// requests wait for a model gets each announcement at once, other daemons get several changes in one.
func TestAnnouncementsAreBatchedUnlessRequestsWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 100
		granted := &fakeLease{}
		granted.grant(1, time.Hour)
		holder := New(Settings{Name: "a"}, Deps{Lease: granted, Engines: &fakeEngine{}, Clock: clock.RealClock{}})
		for daemon := range daemons {
			report := mesh.Report{Name: fmt.Sprintf("d%d", daemon)}
			if daemon == 0 {
				report.Demand = []demand.KeyDemand{{Key: demand.Key{Service: "s", Model: "m"}, Waiting: 1, Oldest: time.Now()}}
			}
			holder.aggregator.add(report, time.Now())
		}
		holder.announced = directory.Announcement{Fence: 1, Revision: 1}
		delivered := map[string]int{}
		for _, daemon := range []string{"d0", "d1"} {
			go func() {
				revision := uint64(1)
				for revision < 50 {
					response, err := holder.Sync(t.Context(), mesh.Report{Name: daemon, Fence: 1, Revision: revision, Wait: time.Second, PollOnly: true})
					if err != nil {
						t.Error(err)
						return
					}
					if response.Revision > revision {
						holder.mutex.Lock()
						delivered[daemon]++
						holder.mutex.Unlock()
					}
					revision = response.Revision
				}
			}()
		}
		for range 49 {
			time.Sleep(10 * time.Millisecond)
			holder.mutex.Lock()
			holder.announced.Revision++
			close(holder.changed)
			holder.changed = make(chan struct{})
			holder.mutex.Unlock()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if delivered["d0"] != 49 || delivered["d1"] > 5 || delivered["d1"] < 2 {
			t.Errorf("delivered %v announcements of 49 changes in half a second", delivered)
		}
	})
}
