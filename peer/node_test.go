package peer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/upstream"
)

// inBubble runs the test in a synctest bubble and stops all processes after it.
func inBubble(t *testing.T, run func(t *testing.T, ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer synctest.Wait()
		defer cancel()
		run(t, ctx)
	})
}

// testState returns the state of an upstream with one replica.
func testState(name string, sequence uint64, running int) upstream.State {
	return upstream.State{
		Upstream: name, BootID: "boot-1", Release: "r1", Sequence: sequence, Role: upstream.Mixed, Capacity: 80 << 30,
		Replicas: []upstream.Replica{{
			Model: "planner", Version: "v1", Order: "order-1", Phase: upstream.Ready, Memory: 14 << 30,
			Adapters: []string{"gate"}, Running: running, Waiting: 1,
		}},
		Checkpoints: map[string]upstream.Tier{"planner@v1": upstream.Disk},
	}
}

// withinResolution reports whether a received time is the one sent, or earlier by less than the resolution of ages:
// one millisecond for each of two hops.
func withinResolution(got, sent time.Time) bool {
	return !got.After(sent) && sent.Sub(got) < 2*time.Millisecond
}

func TestExchangeReachesEveryDaemon(t *testing.T) {
	for _, mode := range []Mode{FullMesh, Gossip} {
		t.Run(fmt.Sprint(mode), func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				nodes := newCluster(ctx, 4, 1, 1).startAll(mode)
				time.Sleep(settleTime)
				seen := time.Now()
				nodes[0].Update(func(record Record) Record {
					record.InForce = 7
					record.Observations = []Observation{{Seen: seen, State: testState("gpu-1", 9, 3)}}
					record.Suspects = []Suspect{{Fingerprint: 42, Crashes: []Crash{{Upstream: "engine-1", BootID: "a"}}, Until: seen.Add(time.Minute)}}
					record.Backlogs = []Backlog{{Model: "planner", Tenant: "patch", Waiting: 2}}
					return record
				})
				time.Sleep(settleTime)
				for _, node := range nodes[1:] {
					record := requirePeer(t, node, "entry-0-0").Record
					if record.InForce != 7 || node.HighestInForce() != 7 {
						t.Fatalf("in force at %s: %d", node.Self().Name, record.InForce)
					}
					if len(record.Observations) != 1 || !sameShape(record.Observations[0].State, testState("gpu-1", 9, 3)) {
						t.Fatalf("observations at %s: %+v", node.Self().Name, record.Observations)
					}
					if got := record.Observations[0]; got.State.Replicas[0].Running != 3 || !withinResolution(got.Seen, seen) {
						t.Fatalf("load at %s: %+v, seen %s, want %s", node.Self().Name, got.State, got.Seen, seen)
					}
					if !withinResolution(record.Suspects[0].Until, seen.Add(time.Minute)) || record.Backlogs[0] != (Backlog{Model: "planner", Tenant: "patch", Waiting: 2}) {
						t.Fatalf("suspects or backlogs at %s: %+v", node.Self().Name, record)
					}
				}
			})
		})
	}
}

func TestDifferencesCarryChangesAndRemovals(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		nodes := newCluster(ctx, 2).startAll(FullMesh)
		set := func(observations ...Observation) {
			nodes[0].Update(func(record Record) Record {
				record.Observations = observations
				return record
			})
			time.Sleep(3 * time.Second)
		}
		set(Observation{State: testState("a", 1, 1)}, Observation{State: testState("b", 1, 1)})
		set(Observation{State: testState("a", 1, 1)}, Observation{State: testState("b", 2, 5)})
		got := requirePeer(t, nodes[1], "entry-0-0").Record.Observations
		if len(got) != 2 || got[1].State.Replicas[0].Running != 5 || got[1].State.Capacity != 80<<30 {
			t.Fatalf("after a change of load: %+v", got)
		}
		set(Observation{State: testState("b", 3, 5)})
		got = requirePeer(t, nodes[1], "entry-0-0").Record.Observations
		if len(got) != 1 || got[0].State.Upstream != "b" {
			t.Fatalf("after a removal: %+v", got)
		}
	})
}

func TestRestartReplacesFormerProcess(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 3)
		earlier, stop := cluster.start(cluster.members[0], 1_000, FullMesh, clock.RealClock{})
		other, _ := cluster.start(cluster.members[1], 1, FullMesh, clock.RealClock{})
		earlier.Update(func(record Record) Record {
			record.InForce, record.Running = 5, 9
			return record
		})
		time.Sleep(settleTime)
		stop()
		// The clock was set back before the new process started, so its incarnation is lower.
		next, _ := cluster.start(cluster.members[0], 10, FullMesh, clock.RealClock{})
		next.Update(func(record Record) Record {
			record.Running = 1
			return record
		})
		time.Sleep(settleTime)
		known := requirePeer(t, other, "entry-0-0")
		if known.Record.Incarnation <= 1_000 || known.Record.Running != 1 {
			t.Fatalf("the record of the earlier process is kept: %+v", known.Record)
		}
	})
}
