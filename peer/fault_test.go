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

// setInForce changes the record of a node.
func setInForce(node *Node, number uint64) {
	node.Update(func(record Record) Record {
		record.InForce = number
		return record
	})
}

func TestPartitions(t *testing.T) {
	for _, test := range []struct {
		name string
		way  Mode
		// forth and back are cut between the first two daemons.
		forth, back bool
		// heard states that changes still pass between them within the time to settle.
		heard bool
	}{
		{"mesh, one way", FullMesh, true, false, true},
		{"mesh, the other way", FullMesh, false, true, true},
		{"mesh, both ways", FullMesh, true, true, false},
		{"digests, both ways, through a third", Gossip, true, true, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context) {
				cluster := newCluster(ctx, 3)
				nodes := cluster.startAll(test.way)
				time.Sleep(settle)
				cluster.setCut(cluster.members[0], cluster.members[1], test.forth)
				cluster.setCut(cluster.members[1], cluster.members[0], test.back)
				setInForce(nodes[0], 5)
				setInForce(nodes[1], 6)
				time.Sleep(2 * settle)
				first := mustKnow(t, nodes[1], "entry-0-0").Record.InForce == 5
				second := mustKnow(t, nodes[0], "entry-0-1").Record.InForce == 6
				if first != test.heard || second != test.heard {
					t.Errorf("heard %v and %v, want %v", first, second, test.heard)
				}
				if live := slices.Contains(nodes[0].Live(), "entry-0-1"); live != test.heard {
					t.Errorf("live: %v, want %v", live, test.heard)
				}
				cluster.setCut(cluster.members[0], cluster.members[1], false)
				cluster.setCut(cluster.members[1], cluster.members[0], false)
				time.Sleep(settle)
				if mustKnow(t, nodes[1], "entry-0-0").Record.InForce != 5 {
					t.Error("not heard after the cut has ended")
				}
			})
		})
	}
}

// TestSlowPeersDelayNobodyElse lets half of the daemons accept calls and never answer.
func TestSlowPeersDelayNobodyElse(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 40)
		var nodes []*Node
		for number, member := range cluster.members {
			if number < 20 {
				node, _ := cluster.start(member, 1, FullMesh, clock.RealClock{})
				nodes = append(nodes, node)
				continue
			}
			cluster.setSlow(member)
		}
		time.Sleep(30 * time.Second)
		before := cluster.countCalls()
		setInForce(nodes[0], 9)
		time.Sleep(5 * time.Second)
		for _, node := range nodes[1:] {
			if mustKnow(t, node, "entry-0-0").Record.InForce != 9 {
				t.Errorf("%s has not heard within 5 s", node.Self().Name)
			}
		}
		if calls := cluster.countCalls() - before; calls > 20*20*5 {
			t.Errorf("%d calls in 5 s", calls)
		}
	})
}

// TestClockOfAPeerDoesNoHarm gives one daemon a clock that is years off.
func TestClockOfAPeerDoesNoHarm(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 2)
		wrong := clocktesting.NewFakeClock(time.Now().Add(9 * 365 * 24 * time.Hour))
		lying := NewNode(Settings{
			Name: "entry-0-0", DataCentre: "dc-0", Incarnation: 1,
			Client:  &sender{cluster: cluster, address: cluster.members[0].Address},
			Members: MembersFunc(func() []Member { return cluster.members }),
		}, wrong, rand.New(rand.NewPCG(1, 1)))
		cluster.handlers[cluster.members[0].Address] = lying.Handler()
		node, _ := cluster.start(cluster.members[1], 1, FullMesh, clock.RealClock{})
		lying.Update(func(record Record) Record {
			record.Observations = []Observation{{Seen: wrong.Now().Add(-3 * time.Second), State: state("gpu-1", 1, 1)}}
			return record
		})
		time.Sleep(settle)
		known := mustKnow(t, node, "entry-0-0")
		if age := time.Since(known.LastSeen); age < 0 || age > 2*time.Second {
			t.Errorf("heard %s ago", age)
		}
		if age := time.Since(known.Record.Observations[0].Seen); age < 3*time.Second || age > settle+3*time.Second {
			t.Errorf("observation is %s old", age)
		}
		if live := node.Live(); len(live) != 2 {
			t.Errorf("live: %v", live)
		}
	})
}

// TestHeldBackExchangeIsNotFresh delivers a request long after it was made, as a network does for a
// daemon that was cut off for a while: what it tells is as old as the request at least.
func TestHeldBackExchangeIsNotFresh(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		const heldBack = 49 * time.Second
		cluster := newCluster(ctx, 2)
		nodes := cluster.startAll(FullMesh)
		time.Sleep(settle)
		made := time.Now()
		nodes[0].Update(func(record Record) Record {
			record.Observations = []Observation{{Seen: made, State: state("gpu-1", 1, 1)}}
			return record
		})
		late := nodes[0].ask(task{member: cluster.members[1]})
		cluster.setCut(cluster.members[0], cluster.members[1], true)
		cluster.setCut(cluster.members[1], cluster.members[0], true)
		time.Sleep(heldBack)
		nodes[1].answer(late)
		for _, seen := range mustKnow(t, nodes[1], "entry-0-0").Record.Observations {
			if seen.Seen.After(made) {
				t.Errorf("a state of %s ago counts as seen %s ago", time.Since(made), time.Since(seen.Seen))
			}
		}
	})
}

// TestSlowAnswerIsNotFresh takes an answer that was on its way for long.
func TestSlowAnswerIsNotFresh(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		const onTheWay = 900 * time.Millisecond
		cluster := newCluster(ctx, 2)
		nodes := cluster.startAll(FullMesh)
		time.Sleep(settle)
		cluster.setCut(cluster.members[1], cluster.members[0], true)
		made := time.Now()
		nodes[1].Update(func(record Record) Record {
			record.Observations = []Observation{{Seen: made, State: state("gpu-1", 1, 1)}}
			return record
		})
		cluster.setLate(cluster.members[1], onTheWay)
		nodes[0].exchange(ctx, task{member: cluster.members[1]})
		seen := mustKnow(t, nodes[0], "entry-0-1").Record.Observations
		if len(seen) != 1 || seen[0].Seen.After(made) {
			t.Errorf("states seen after %s: %+v", made, seen)
		}
	})
}

func TestLeavingIsToldAtOnceAndSilenceIsForgotten(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context) {
		cluster := newCluster(ctx, 2)
		leaver, kill := cluster.start(cluster.members[0], 1, FullMesh, clock.RealClock{})
		other, _ := cluster.start(cluster.members[1], 1, FullMesh, clock.RealClock{})
		time.Sleep(settle)
		leaver.Update(func(record Record) Record {
			record.Leaving = true
			return record
		})
		time.Sleep(10 * time.Millisecond)
		if !mustKnow(t, other, "entry-0-0").Record.Leaving || len(other.Live()) != 1 {
			t.Errorf("leaving is not known, live %v", other.Live())
		}
		kill()
		cluster.setCut(cluster.members[1], cluster.members[0], true)
		time.Sleep(2 * time.Minute)
		if _, ok := recordOf(other, "entry-0-0"); ok {
			t.Error("a silent daemon is not forgotten")
		}
		if len(other.links) > 1 {
			t.Errorf("links: %d", len(other.links))
		}
	})
}

func TestAssignedMovesFew(t *testing.T) {
	daemons := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	moved, load := 0, map[string]int{}
	const upstreams = 800
	for number := range upstreams {
		name := "gpu-" + string(rune('a'+number%26)) + time.Duration(number).String()
		before := Assigned(name, daemons, 2)
		after := Assigned(name, daemons[:7], 2)
		if len(before) != 2 || before[0] == before[1] {
			t.Fatalf("assigned: %v", before)
		}
		for _, daemon := range before {
			load[daemon]++
			if daemon != "h" && !slices.Contains(after, daemon) {
				moved++
			}
		}
	}
	if moved > 0 {
		t.Errorf("%d upstreams left daemons that stayed", moved)
	}
	for daemon, count := range load {
		if count < upstreams/8 || count > upstreams/2 {
			t.Errorf("%s polls %d upstreams", daemon, count)
		}
	}
	if got := Assigned("gpu", nil, 2); len(got) != 0 {
		t.Errorf("assigned without daemons: %v", got)
	}
}
