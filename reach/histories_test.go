package reach

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"
)

var sizes = flag.String("sizes", "4,30", "numbers of daemons of the simulated histories, separated by commas")

// simSizes returns the numbers of daemons to simulate.
func simSizes(t *testing.T) (parsed []int) {
	for rest := *sizes; rest != ""; {
		var size int
		var next string
		if _, err := fmt.Sscanf(rest+",", "%d,%s", &size, &next); err != nil && size == 0 {
			t.Fatal(err)
		}
		parsed = append(parsed, size)
		rest = next
		if len(rest) > 0 && rest[len(rest)-1] == ',' {
			rest = rest[:len(rest)-1]
		}
	}
	return parsed
}

// TestPausesAreNotCuts guards against a daemon that takes the silence of sound replicas for a cut of its paths: it would lend
// requests, or avoid the replicas. Each replica pauses 12 times, for 0.1 to 5 s, and in a third of the histories all pause together.
func TestPausesAreNotCuts(t *testing.T) {
	for _, size := range simSizes(t) {
		pairs, lost, cutOff := 0, 0, 0
		for seed := range uint64(6) {
			sim := newSimulation(size, seed)
			for replica := range simReplicas {
				at := 2*time.Second + sim.upTo(5*time.Second)
				for range 12 {
					length := 100*time.Millisecond + sim.upTo(4900*time.Millisecond)
					if seed%3 == 0 && replica > 0 {
						sim.pauses[replica] = sim.pauses[0]
						break
					}
					sim.pauses[replica] = append(sim.pauses[replica], span{from: at, to: at + length})
					at += length + time.Second + sim.upTo(2*time.Second)
				}
			}
			sim.run(60 * time.Second)
			for _, daemon := range sim.daemons {
				pairs += simReplicas
				lost += len(daemon.lostAt)
				if daemon.cutOffAt > 0 {
					cutOff++
				}
			}
		}
		t.Logf("%d daemons: %d of %d pairs found lost in 12 pauses each, %d daemons cut off", size, lost, pairs, cutOff)
		if cutOff > 0 || float64(lost) > 0.001*12*float64(pairs) {
			t.Errorf("%d daemons: pauses pass for cuts", size)
		}
	}
}

// TestCutsAreFound guards against issue 49: a daemon whose connections opened and yielded nothing, or were reset, never found that it
// was cut off. The daemons must be cut off within contact of the cut, lose fewer than one request that may run once for each pair,
// and be back soon after its end.
func TestCutsAreFound(t *testing.T) {
	const (
		contact  = 3 * time.Second
		cutBegin = 5 * time.Second
	)
	cases := []struct {
		name   string
		resets bool
		// share is the share of the daemons that is cut off; zero stands for one daemon. replicas is the number that they do not reach.
		share    float64
		replicas int
	}{
		{"one daemon, mute", false, 0, simReplicas},
		{"one daemon, resets", true, 0, simReplicas},
		{"a quarter, mute", false, 0.25, simReplicas},
		{"three quarters, mute", false, 0.75, simReplicas},
		{"three quarters, resets", true, 0.75, simReplicas},
		{"one daemon, some replicas, mute", false, 0, 4},
		{"a quarter, some replicas, resets", true, 0.25, 4},
	}
	for _, size := range simSizes(t) {
		for _, c := range cases {
			t.Run(fmt.Sprint(size, " daemons, ", c.name), func(t *testing.T) {
				cut := max(int(c.share*float64(size)), 1)
				daemons, inTime, wrong, swallowed := 0, 0, 0, 0
				var slowestBack time.Duration
				for seed := range uint64(4) {
					sim := newSimulation(size, seed)
					length := []time.Duration{4, 9, 30, 60}[seed] * time.Second
					if c.replicas < simReplicas {
						// A path that no request needs is not found lost.
						length = max(length, 9*time.Second)
					}
					for number := range cut {
						for replica := range c.replicas {
							sim.cuts[number][replica] = []span{{cutBegin, cutBegin + length, c.resets}}
						}
					}
					sim.run(cutBegin + length + 10*time.Second)
					for _, daemon := range sim.daemons[:cut] {
						daemons++
						swallowed += daemon.swallowed
						if c.replicas == simReplicas && daemon.cutOffAt > 0 && daemon.cutOffAt-cutBegin <= contact {
							inTime++
							slowestBack = max(slowestBack, daemon.backAt-cutBegin-length)
						}
						if c.replicas < simReplicas && daemon.cutOffAt == 0 && len(daemon.lostAt) == c.replicas {
							inTime++
						}
					}
					for _, daemon := range sim.daemons[cut:] {
						wrong += len(daemon.lostAt)
					}
				}
				t.Logf("%d of %d daemons found it, others found %d paths lost, %.2f requests a pair swallowed, back within %v",
					inTime, daemons, wrong, float64(swallowed)/float64(daemons*c.replicas), slowestBack.Round(time.Millisecond))
				if float64(inTime) < 0.99*float64(daemons) || wrong > 0 || swallowed >= daemons*c.replicas {
					t.Errorf("cuts are not found, or too late")
				}
				if slowestBack > contact {
					t.Errorf("back after %v", slowestBack)
				}
			})
		}
	}
}

// TestPausesAndCutsTogether covers both at once: each replica pauses for 0.1 to 5 s again and again, and a quarter of the daemons is cut
// off from all replicas or from some, for 0.5 to 60 s. Of the cuts of 4 s or more from all replicas, 95 in 100 must be found within
// 3 s, and fewer than one in 1,000 pauses of a replica may pass for a cut at a daemon.
func TestPausesAndCutsTogether(t *testing.T) {
	const length = 100 * time.Second
	for _, size := range simSizes(t) {
		pauses, wrong, cuts, found := 0, 0, 0, 0
		for seed := range uint64(4) {
			sim := newSimulation(size, seed)
			for replica := range simReplicas {
				sim.pauses[replica] = sim.spans(length, 4*time.Second, 100*time.Millisecond, 5*time.Second)
				pauses += len(sim.pauses[replica]) * size
			}
			for number := range max(size/4, 1) {
				spans := sim.spans(length, 10*time.Second, 500*time.Millisecond, 60*time.Second)
				for replica := range []int{simReplicas, simReplicas / 3}[number%2] {
					sim.cuts[number][replica] = spans
				}
			}
			sim.run(length)
			for _, daemon := range sim.daemons {
				wrong += daemon.wrong
				for index, cut := range sim.cuts[daemon.number][simReplicas-1] {
					// A cut that follows another at once meets a daemon that is cut off still.
					if cut.to-cut.from < 4*time.Second || index > 0 && cut.from-sim.cuts[daemon.number][0][index-1].to < 4*time.Second {
						continue
					}
					cuts++
					if slices.ContainsFunc(daemon.cutOffs, func(at time.Duration) bool { return cut.from <= at && at <= cut.from+3*time.Second }) {
						found++
					}
				}
			}
		}
		t.Logf("%d daemons: %d of %d pauses passed for cuts, %d of %d cuts found in time", size, wrong, pauses, found, cuts)
		if float64(wrong) > 0.001*float64(pauses) || float64(found) < 0.95*float64(cuts) {
			t.Errorf("%d daemons: wrong conclusions", size)
		}
	}
}

// spans returns periods between the given lengths, with the mean gap between them, within the length.
func (sim *simulation) spans(length, gap, shortest, longest time.Duration) (spans []span) {
	for at := 2*time.Second + sim.upTo(2*gap); at < length-10*time.Second; {
		next := span{from: at, to: at + shortest + sim.upTo(longest-shortest), resets: sim.random.IntN(2) == 0}
		spans = append(spans, next)
		at = next.to + gap/2 + sim.upTo(gap)
	}
	return spans
}

// TestFlappingPathsCostNoMoreThanCutOnes compares paths that yield nothing in every other second with paths that never do.
func TestFlappingPathsCostNoMoreThanCutOnes(t *testing.T) {
	swallowed := func(spans []span) (count int) {
		for seed := range uint64(10) {
			sim := newSimulation(4, seed)
			for replica := range simReplicas {
				sim.cuts[0][replica] = spans
			}
			sim.run(45 * time.Second)
			count += sim.daemons[0].swallowed
		}
		return count
	}
	var flaps []span
	for at := 5 * time.Second; at < 35*time.Second; at += 2 * time.Second {
		flaps = append(flaps, span{from: at, to: at + time.Second})
	}
	cut, flapping := swallowed([]span{{from: 5 * time.Second, to: 35 * time.Second}}), swallowed(flaps)
	t.Logf("%d requests swallowed by cut paths, %d by flapping ones", cut, flapping)
	if flapping > cut {
		t.Error("paths that flap cost more than paths that are cut")
	}
}
