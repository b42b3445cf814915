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

var dawn = time.Unix(1000, 0)

// anyReport returns a report of one of a few daemons about a few models and engines.
func anyReport(random *rand.Rand) mesh.Report {
	report := mesh.Report{Name: fmt.Sprintf("d%d", random.IntN(4)), Partial: random.IntN(3) == 0, Loads: mesh.Loads{}}
	for model := range 3 {
		for _, adapter := range []string{"", "a1"} {
			if random.IntN(2) == 0 {
				continue
			}
			key := demand.Key{Service: "s", Model: fmt.Sprintf("m%d", model), Adapter: adapter}
			want := demand.KeyDemand{Key: key, Rate: float64(random.IntN(8)), LastArrival: dawn.Add(time.Duration(random.IntN(9)) * time.Second)}
			if want.Waiting = random.IntN(3); want.Waiting > 0 {
				want.Oldest = dawn.Add(time.Duration(random.IntN(9)) * time.Second)
			}
			report.Wants = append(report.Wants, want)
			engine := topology.Incarnation{ID: fmt.Sprintf("e%d", random.IntN(2))}
			report.Loads[demand.ReplicaKey{Incarnation: engine, Key: key}] = demand.OneWaiting(random.IntN(demand.Priorities))
		}
	}
	return report
}

// TestSumsFollowReports covers hundreds of daemons whose reports change little: the sums that follow each report are
// those of all reports together.
func TestSumsFollowReports(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	followed := newLedger()
	now := dawn
	for step := range 500 {
		now = now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
		followed.take(anyReport(random), now)
		followed.expire(now)
		whole := newLedger()
		for name, known := range followed.reports {
			report := mesh.Report{Name: name, Loads: known.loads}
			for _, want := range known.wants {
				report.Wants = append(report.Wants, want)
			}
			whole.take(report, known.at)
		}
		compare(t, step, followed, whole)
	}
}

func compare(t *testing.T, step int, got, want *ledger) {
	t.Helper()
	first, second := got.totals("s"), want.totals("s")
	for name, pair := range map[string][2]map[string]residency.Demand{
		"models": {first.models, second.models}, "adapters": {first.adapters, second.adapters},
	} {
		if len(pair[0]) != len(pair[1]) {
			t.Fatalf("step %d: %d %s, want %d", step, len(pair[0]), name, len(pair[1]))
		}
		for key, a := range pair[0] {
			b := pair[1][key]
			if a.Waiting != b.Waiting || a.Running != b.Running || math.Abs(a.Rate-b.Rate) > 1e-6 || !a.Oldest.Equal(b.Oldest) || a.LastArrival.Before(b.LastArrival) {
				t.Fatalf("step %d: %s is %+v, want %+v", step, key, a, b)
			}
		}
	}
	if !reflect.DeepEqual(first.running, second.running) || !reflect.DeepEqual(first.adaptersRunning, second.adaptersRunning) {
		t.Fatalf("step %d: running %v, want %v", step, first.running, second.running)
	}
	if !reflect.DeepEqual(got.flights, want.flights) || !reflect.DeepEqual(got.waiting, want.waiting) {
		t.Fatalf("step %d: in flight %v, want %v", step, got.flights, want.flights)
	}
	for daemon := range got.reports {
		if !reflect.DeepEqual(got.others(daemon), want.others(daemon)) {
			t.Fatalf("step %d: others than %s are %v, want %v", step, daemon, got.others(daemon), want.others(daemon))
		}
	}
}

// TestReportsOutliveTheirInterval covers fleets at which a whole report of each daemon comes only every few seconds.
func TestReportsOutliveTheirInterval(t *testing.T) {
	for _, daemons := range []int{4, 30, 118, 363, 1000} {
		ledger := newLedger()
		for daemon := range daemons {
			ledger.take(mesh.Report{Name: fmt.Sprintf("d%d", daemon)}, dawn)
		}
		interval := 250*time.Millisecond + time.Duration(daemons)*8*time.Millisecond
		if ledger.expire(dawn.Add(2 * interval)); len(ledger.reports) != daemons {
			t.Errorf("%d daemons: %d reports are left after two intervals", daemons, len(ledger.reports))
		}
		if ledger.expire(dawn.Add(time.Minute)); len(ledger.reports) != 0 || len(ledger.totals("s").models) != 0 {
			t.Errorf("%d daemons: %d reports are left after a minute", daemons, len(ledger.reports))
		}
	}
}

// TestAnnouncementsAreSparedForDaemonsThatDoNotWait covers a large fleet with many orders a second: a daemon whose
// requests wait for a model is told at once, the others of several changes together.
func TestAnnouncementsAreSparedForDaemonsThatDoNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const daemons = 100
		right := &tenure{}
		right.grant(1, time.Hour)
		holder := New(Settings{Name: "a"}, Deps{Lease: right, Engines: &engineSim{}, Clock: clock.RealClock{}})
		for daemon := range daemons {
			report := mesh.Report{Name: fmt.Sprintf("d%d", daemon)}
			if daemon == 0 {
				report.Wants = []demand.KeyDemand{{Key: demand.Key{Service: "s", Model: "m"}, Waiting: 1, Oldest: time.Now()}}
			}
			holder.ledger.take(report, time.Now())
		}
		holder.announced = directory.Announcement{Fence: 1, Revision: 1}
		told := map[string]int{}
		for _, daemon := range []string{"d0", "d1"} {
			go func() {
				revision := uint64(1)
				for revision < 50 {
					answer, err := holder.Sync(t.Context(), mesh.Report{Name: daemon, Fence: 1, Revision: revision, Wait: time.Second, OnlyAsk: true})
					if err != nil {
						t.Error(err)
						return
					}
					if answer.Revision > revision {
						holder.mutex.Lock()
						told[daemon]++
						holder.mutex.Unlock()
					}
					revision = answer.Revision
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
		if told["d0"] != 49 || told["d1"] > 5 || told["d1"] < 2 {
			t.Errorf("told %v times of 49 changes in half a second", told)
		}
	})
}
