package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"k8s.io/utils/clock"
	clocktesting "k8s.io/utils/clock/testing"
)

// setInForce sets the number in force in the record of the node.
func setInForce(node *Node, number uint64) {
	node.Update(func(record Record) Record {
		record.InForce = number
		return record
	})
}

func TestPartitions(t *testing.T) {
	for _, test := range []struct {
		name string
		mode Mode
		// forth and back cut the calls between the first two daemons, in each direction.
		forth, back bool
		// received states that changes still reach the other daemon within twice the settle time.
		received bool
	}{
		{"full mesh, one direction", FullMesh, true, false, true},
		{"full mesh, the other direction", FullMesh, false, true, true},
		{"full mesh, both directions", FullMesh, true, true, false},
		{"gossip, both directions, relayed by a third", Gossip, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, ctx context.Context) {
				cluster := newCluster(ctx, 3)
				nodes := cluster.startAll(test.mode)
				time.Sleep(settleTime)
				cluster.setCut(cluster.members[0], cluster.members[1], test.forth)
				cluster.setCut(cluster.members[1], cluster.members[0], test.back)
				setInForce(nodes[0], 5)
				setInForce(nodes[1], 6)
				time.Sleep(2 * settleTime)
				first := requirePeer(t, nodes[1], "entry-0-0").Record.InForce == 5
				second := requirePeer(t, nodes[0], "entry-0-1").Record.InForce == 6
				if first != test.received || second != test.received {
					t.Errorf("received %v and %v, want %v", first, second, test.received)
				}
				if live := slices.Contains(nodes[0].Live(), "entry-0-1"); live != test.received {
					t.Errorf("live: %v, want %v", live, test.received)
				}
				cluster.setCut(cluster.members[0], cluster.members[1], false)
				cluster.setCut(cluster.members[1], cluster.members[0], false)
				time.Sleep(settleTime)
				if requirePeer(t, nodes[1], "entry-0-0").Record.InForce != 5 {
					t.Error("change not received after the cut ended")
				}
			})
		})
	}
}

// TestUnresponsivePeersDelayNoOthers makes half of the daemons accept calls and never respond. Changes must still
// reach the others within 5 s, and the number of calls must stay bounded.
func TestUnresponsivePeersDelayNoOthers(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 40)
		var nodes []*Node
		for number, member := range cluster.members {
			if number < 20 {
				node, _ := cluster.start(member, 1, FullMesh, clock.RealClock{})
				nodes = append(nodes, node)
				continue
			}
			cluster.setUnresponsive(member)
		}
		time.Sleep(30 * time.Second)
		before := cluster.countCalls()
		setInForce(nodes[0], 9)
		time.Sleep(5 * time.Second)
		for _, node := range nodes[1:] {
			if requirePeer(t, node, "entry-0-0").Record.InForce != 9 {
				t.Errorf("%s did not receive the change within 5 s", node.Self().Name)
			}
		}
		if calls := cluster.countCalls() - before; calls > 20*20*5 {
			t.Errorf("%d calls in 5 s", calls)
		}
	})
}

// TestWrongClockOfPeerHasNoEffect sets the clock of one daemon nine years ahead.
func TestWrongClockOfPeerHasNoEffect(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 2)
		wrongClock := clocktesting.NewFakeClock(time.Now().Add(9 * 365 * 24 * time.Hour))
		skewed := NewNode(Settings{
			Name: "entry-0-0", DataCentre: "dc-0", Incarnation: 1,
			Client:  &memoryClient{cluster: cluster, address: cluster.members[0].Address},
			Members: MembersFunc(func() []Member { return cluster.members }),
		}, wrongClock, rand.New(rand.NewPCG(1, 1)))
		cluster.handlers[cluster.members[0].Address] = skewed.Handler()
		node, _ := cluster.start(cluster.members[1], 1, FullMesh, clock.RealClock{})
		skewed.Update(func(record Record) Record {
			record.Observations = []Observation{{Seen: wrongClock.Now().Add(-3 * time.Second), State: testState("gpu-1", 1, 1)}}
			return record
		})
		time.Sleep(settleTime)
		known := requirePeer(t, node, "entry-0-0")
		if age := time.Since(known.LastSeen); age < 0 || age > 2*time.Second {
			t.Errorf("last seen %s ago", age)
		}
		if age := time.Since(known.Record.Observations[0].Seen); age < 3*time.Second || age > settleTime+3*time.Second {
			t.Errorf("observation is %s old", age)
		}
		if live := node.Live(); len(live) != 2 {
			t.Errorf("live: %v", live)
		}
	})
}

// TestDelayedRequestIsNotFresh delivers a request long after it was created, as happens to a daemon whose network
// was interrupted. The states in it must count as at least as old as the request.
func TestDelayedRequestIsNotFresh(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const delay = 49 * time.Second
		cluster := newCluster(ctx, 2)
		nodes := cluster.startAll(FullMesh)
		time.Sleep(settleTime)
		observed := time.Now()
		nodes[0].Update(func(record Record) Record {
			record.Observations = []Observation{{Seen: observed, State: testState("gpu-1", 1, 1)}}
			return record
		})
		request := nodes[0].newRequest(task{member: cluster.members[1]})
		cluster.setCut(cluster.members[0], cluster.members[1], true)
		cluster.setCut(cluster.members[1], cluster.members[0], true)
		time.Sleep(delay)
		nodes[1].handleRequest(request)
		for _, observation := range requirePeer(t, nodes[1], "entry-0-0").Record.Observations {
			if observation.Seen.After(observed) {
				t.Errorf("a state observed %s ago counts as observed %s ago", time.Since(observed), time.Since(observation.Seen))
			}
		}
	})
}

// TestDelayedResponseIsNotFresh delays a response in the network. The states in it must not count as newer than
// they are.
func TestDelayedResponseIsNotFresh(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		const delay = 900 * time.Millisecond
		cluster := newCluster(ctx, 2)
		nodes := cluster.startAll(FullMesh)
		time.Sleep(settleTime)
		cluster.setCut(cluster.members[1], cluster.members[0], true)
		observed := time.Now()
		nodes[1].Update(func(record Record) Record {
			record.Observations = []Observation{{Seen: observed, State: testState("gpu-1", 1, 1)}}
			return record
		})
		cluster.setDelay(cluster.members[1], delay)
		nodes[0].exchange(ctx, task{member: cluster.members[1]})
		observations := requirePeer(t, nodes[0], "entry-0-1").Record.Observations
		if len(observations) != 1 || observations[0].Seen.After(observed) {
			t.Errorf("states observed after %s: %+v", observed, observations)
		}
	})
}

func TestLeavingIsSentAtOnceAndSilentPeersAreRemoved(t *testing.T) {
	inBubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 2)
		leaving, stop := cluster.start(cluster.members[0], 1, FullMesh, clock.RealClock{})
		other, _ := cluster.start(cluster.members[1], 1, FullMesh, clock.RealClock{})
		time.Sleep(settleTime)
		leaving.Update(func(record Record) Record {
			record.Leaving = true
			return record
		})
		time.Sleep(10 * time.Millisecond)
		if !requirePeer(t, other, "entry-0-0").Record.Leaving || len(other.Live()) != 1 {
			t.Errorf("the leaving state was not received, live %v", other.Live())
		}
		stop()
		cluster.setCut(cluster.members[1], cluster.members[0], true)
		time.Sleep(2 * time.Minute)
		if _, ok := findPeer(other, "entry-0-0"); ok {
			t.Error("the record of a silent daemon is not removed")
		}
		if len(other.links) > 1 {
			t.Errorf("links: %d", len(other.links))
		}
	})
}
