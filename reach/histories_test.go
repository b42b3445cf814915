package reach

import (
	"flag"
	"fmt"
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
