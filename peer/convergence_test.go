package peer

import (
	"context"
	"flag"
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Flags of TestConvergence.
var (
	fanout = flag.Int("fanout", 0, "peers in each interval by digests; zero is the default")
	sizes  = flag.String("daemons", "4,24", "numbers of daemons")
)

// reach returns how long it takes until all nodes know the change.
func reach(t *testing.T, nodes []*Node, knows func(Record) bool) time.Duration {
	t.Helper()
	const step, limit = 20 * time.Millisecond, time.Minute
	for waited := time.Duration(0); waited < limit; waited += step {
		missing := 0
		for _, node := range nodes[1:] {
			if known, ok := recordOf(node, nodes[0].Self().Name); !ok || !knows(known.Record) {
				missing++
			}
		}
		if missing == 0 {
			return waited
		}
		time.Sleep(step)
	}
	t.Fatal("a change does not reach everybody")
	return 0
}

// TestConvergence holds the time after which a change is known everywhere to
// two intervals by mesh, and to four and twice the logarithm of the number of
// daemons by digests.
func TestConvergence(t *testing.T) {
	for _, way := range []Mode{FullMesh, Gossip} {
		for _, field := range strings.Split(*sizes, ",") {
			daemons, err := strconv.Atoi(field)
			if err != nil {
				t.Fatal(err)
			}
			t.Run(fmt.Sprintf("%d of %d", way, daemons), func(t *testing.T) {
				bubble(t, func(t *testing.T, ctx context.Context) {
					nodes := newCluster(ctx, daemons).startAll(way)
					time.Sleep(30 * time.Second)
					limit := 2 * time.Second
					if way == Gossip {
						limit = 4 * time.Second
						for size := 1; size < daemons; size *= 2 {
							limit += 2 * time.Second
						}
					}
					slowest, sum := time.Duration(0), time.Duration(0)
					const changes = 10
					for change := range changes {
						nodes[0].Update(func(record Record) Record {
							record.Running = change + 1
							return record
						})
						took := reach(t, nodes, func(record Record) bool { return record.Running == change+1 })
						slowest, sum = max(slowest, took), sum+took
						time.Sleep(1370 * time.Millisecond)
					}
					nodes[0].Update(func(record Record) Record {
						record.Observations = []Observation{{Seen: time.Now(), State: state("gpu-1", 1, 1)}}
						return record
					})
					urgent := reach(t, nodes, func(record Record) bool { return len(record.Observations) == 1 })
					t.Logf("mean %s, slowest of %d %s, urgent %s", sum/changes, changes, slowest, urgent)
					if slowest > limit || urgent > 100*time.Millisecond {
						t.Errorf("slowest %s, urgent %s, limit %s", slowest, urgent, limit)
					}
				})
			})
		}
	}
}
