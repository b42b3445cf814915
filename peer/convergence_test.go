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
	fanout = flag.Int("fanout", 0, "peers in each interval by gossip; zero selects the default")
	sizes  = flag.String("daemons", "4,24", "numbers of daemons")
)

// convergenceTime returns the time until the condition holds for the record of the first node at all others.
func convergenceTime(t *testing.T, nodes []*Node, reached func(Record) bool) time.Duration {
	t.Helper()
	const step, limit = 20 * time.Millisecond, time.Minute
	for elapsed := time.Duration(0); elapsed < limit; elapsed += step {
		missing := 0
		for _, node := range nodes[1:] {
			if known, ok := findPeer(node, nodes[0].Self().Name); !ok || !reached(known.Record) {
				missing++
			}
		}
		if missing == 0 {
			return elapsed
		}
		time.Sleep(step)
	}
	t.Fatal("a change does not reach all nodes")
	return 0
}

// TestConvergence checks that a change reaches all daemons within two intervals in mode FullMesh, and within four
// plus twice the binary logarithm of the number of daemons in mode Gossip.
func TestConvergence(t *testing.T) {
	for _, mode := range []Mode{FullMesh, Gossip} {
		for _, field := range strings.Split(*sizes, ",") {
			daemons, err := strconv.Atoi(field)
			if err != nil {
				t.Fatal(err)
			}
			t.Run(fmt.Sprintf("%d of %d", mode, daemons), func(t *testing.T) {
				inBubble(t, func(t *testing.T, ctx context.Context) {
					nodes := newCluster(ctx, daemons).startAll(mode)
					time.Sleep(30 * time.Second)
					limit := 2 * time.Second
					if mode == Gossip {
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
						duration := convergenceTime(t, nodes, func(record Record) bool { return record.Running == change+1 })
						slowest, sum = max(slowest, duration), sum+duration
						time.Sleep(1370 * time.Millisecond)
					}
					nodes[0].Update(func(record Record) Record {
						record.Observations = []Observation{{Seen: time.Now(), State: testState("gpu-1", 1, 1)}}
						return record
					})
					urgent := convergenceTime(t, nodes, func(record Record) bool { return len(record.Observations) == 1 })
					t.Logf("mean %s, slowest of %d %s, urgent %s", sum/changes, changes, slowest, urgent)
					if slowest > limit || urgent > 100*time.Millisecond {
						t.Errorf("slowest %s, urgent %s, limit %s", slowest, urgent, limit)
					}
				})
			})
		}
	}
}
