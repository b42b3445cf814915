package reach

import (
	"fmt"
	"testing"
	"time"
)

// flaps returns cuts of the length at that distance from 5 s to 35 s.
func flaps(length time.Duration, resets bool) (spans []span) {
	for at := 5 * time.Second; at < 35*time.Second; at += 2 * length {
		spans = append(spans, span{from: at, to: at + length, resets: resets})
	}
	return spans
}

// TestPathsThatFallTogetherCostNoMoreThanCutOnes is TestFlappingPathsCostNoMoreThanCutOnes for resets, slower flaps and several daemons.
func TestPathsThatFallTogetherCostNoMoreThanCutOnes(t *testing.T) {
	for _, c := range []struct {
		name         string
		length       time.Duration
		resets       bool
		daemons, cut int
		seeds        uint64
	}{
		{"each second, resets", time.Second, true, 4, 1, 10},
		{"each second, three of four daemons", time.Second, false, 4, 3, 10},
		{"each second, one of 30 daemons", time.Second, false, 30, 1, 2},
		{"every two seconds", 2 * time.Second, false, 4, 1, 10},
	} {
		t.Run(c.name, func(t *testing.T) {
			swallowed := func(spans []span) (count int) {
				for seed := range c.seeds {
					sim := newSimulation(c.daemons, seed)
					for number := range c.cut {
						for replica := range simReplicas {
							sim.cuts[number][replica] = spans
						}
					}
					sim.run(45 * time.Second)
					for _, daemon := range sim.daemons {
						count += daemon.swallowed
					}
				}
				return count
			}
			cut, flapping := swallowed([]span{{5 * time.Second, 35 * time.Second, c.resets}}), swallowed(flaps(c.length, c.resets))
			t.Logf("%d requests swallowed by cut paths, %d by flapping ones", cut, flapping)
			if flapping > cut {
				t.Error("paths that flap cost more than paths that are cut")
			}
		})
	}
}

// TestPausesAgainAndAgainAreNotFalls guards against damping that takes sound replicas which pause now and then for paths that flap: no
// request that may run once may be refused, swallowed or passed on because of them, and none may wait because one replica pauses.
func TestPausesAgainAndAgainAreNotFalls(t *testing.T) {
	for _, size := range simSizes(t) {
		for _, c := range []struct {
			name             string
			replicas         int
			length, interval time.Duration
		}{
			{"one for 1 s every 5 s", 1, time.Second, 5 * time.Second},
			{"one for 1 s every 2 s", 1, time.Second, 2 * time.Second},
			{"four for 2 s every 5 s", 4, 2 * time.Second, 5 * time.Second},
			{"all together for 1 s every 5 s", simReplicas, time.Second, 5 * time.Second},
			{"all together for 1 s every 2 s", simReplicas, time.Second, 2 * time.Second},
			{"all together for 2 s every 5 s", simReplicas, 2 * time.Second, 5 * time.Second},
		} {
			t.Run(fmt.Sprint(size, " daemons, ", c.name), func(t *testing.T) {
				var unsent [Dead + 1]int
				swallowed, lost := 0, 0
				for seed := range uint64(2) {
					sim := newSimulation(size, seed)
					for at := 2 * time.Second; at < 30*time.Second; at += c.interval {
						for replica := range c.replicas {
							sim.pauses[replica] = append(sim.pauses[replica], span{from: at, to: at + c.length})
						}
					}
					sim.run(35 * time.Second)
					for _, daemon := range sim.daemons {
						swallowed += daemon.swallowed
						lost += len(daemon.lostAt)
						for state, count := range daemon.unsent {
							unsent[state] += count
						}
					}
				}
				t.Logf("requests without a sound path: %d that wait for a proof, %d refused, %d passed on", unsent[Suspected],
					unsent[Absent]+unsent[Dead], unsent[Unsteady]+unsent[Closed])
				if unsent[Unsteady]+unsent[Absent]+unsent[Closed]+unsent[Dead]+swallowed+lost > 0 {
					t.Errorf("pauses pass for falls: %v unsent by state, %d swallowed, %d paths lost", unsent, swallowed, lost)
				}
				if c.replicas == 1 && unsent[Suspected] > 0 {
					t.Errorf("%d requests wait although other replicas answer", unsent[Suspected])
				}
			})
		}
	}
}

// TestHoldGrowsWithFalls checks for how long a path must be proved after falls, and that long ago ones count little.
func TestHoldGrowsWithFalls(t *testing.T) {
	for _, c := range []struct {
		name  string
		falls []int
		// doubted is when the path was suspected once more; zero if it was not.
		doubted int
		// steady is when the path counts as sound again.
		steady int
	}{
		{"none", nil, 0, 0},
		{"once", []int{1000}, 0, 4000},
		{"once, and suspected before it was steady", []int{1000}, 3000, 6000},
		{"once, and suspected later", []int{1000}, 5000, 4000},
		{"again at once", []int{1000, 1000}, 0, 7000},
		{"again after a half-life", []int{1000, 31000}, 0, 31000 + 4243},
		{"again after long", []int{1000, 901000}, 0, 904000},
		{"many times", []int{1000, 1000, 1000, 1000, 1000, 1000, 1000}, 0, 31000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var damping damping
			for _, fall := range c.falls {
				damping = damping.withFall(at(fall))
			}
			if c.doubted > 0 {
				damping = damping.withDoubt(at(c.doubted))
			}
			if c.steady > 0 && !damping.isUnsteady(at(c.steady-1)) {
				t.Error("the path is steady too soon")
			}
			if damping.isUnsteady(at(c.steady + 1)) {
				t.Error("the path is unsteady for too long")
			}
		})
	}
}

// TestFallsMakePathsUnsteady checks what passes for a fall of one path, and of all.
func TestFallsMakePathsUnsteady(t *testing.T) {
	// swallow lets a probe of the replica that began at 600 ms be silent, although another daemon has an answer at 1,450 ms.
	swallow := func(paths *Paths, key string) {
		silence(paths, key, 1500)
		paths.Vouched(key, at(1450), at(1500))
		paths.Step(at(1600))
	}
	cases := []struct {
		name string
		run  func(paths *Paths)
		at   int
		want State
		// other is the state of the path to a replica that always answers.
		other State
	}{
		{"cut and proved again", func(paths *Paths) {
			swallow(paths, "a")
			paths.Reached("a", at(2000))
		}, 2100, Unsteady, Sound},
		{"proved for long", func(paths *Paths) {
			swallow(paths, "a")
			paths.Reached("a", at(2000))
			paths.ProbeEnded("a", at(2001))
		}, 5100, Sound, Sound},
		{"reset and proved again", func(paths *Paths) {
			paths.Failed("a", Reset, at(100), at(101))
			paths.Failed("a", Reset, at(300), at(301))
			paths.Reached("a", at(500))
		}, 600, Unsteady, Sound},
		{"refused and proved again", func(paths *Paths) {
			paths.Failed("a", Refused, at(100), at(101))
			paths.Reached("a", at(500))
		}, 600, Sound, Sound},
		{"silent for all and proved again", func(paths *Paths) {
			silence(paths, "a", 4000)
			paths.Reached("a", at(4000))
		}, 4050, Sound, Sound},
		{"the probe is silent while the replica answers", func(paths *Paths) {
			silence(paths, "a", 900)
			for now := 1000; now <= 2000; now += 300 {
				paths.Reached("a", at(now))
			}
		}, 2050, Unsteady, Sound},
		{"the probe waits for a slot after a pause", func(paths *Paths) {
			silence(paths, "a", 1700)
			paths.Reached("a", at(1700))
			paths.Vouched("a", at(1750), at(1800))
		}, 2400, Sound, Sound},
		{"all are reset and proved again", func(paths *Paths) {
			for _, begun := range []int{100, 300} {
				paths.Failed("a", Reset, at(begun), at(begun+1))
				paths.Failed("other", Reset, at(begun), at(begun+1))
				paths.Step(at(begun + 100))
			}
			paths.Reached("a", at(500))
			paths.Reached("other", at(500))
		}, 600, Unsteady, Unsteady},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			paths := New()
			paths.Reached("a", at(0))
			paths.Reached("other", at(0))
			c.run(paths)
			paths.Step(at(c.at))
			if got := paths.State("a", at(c.at)); got != c.want {
				t.Errorf("the state is %v, want %v", got, c.want)
			}
			if got := paths.State("other", at(c.at)); got != c.other {
				t.Errorf("the state of the other path is %v, want %v", got, c.other)
			}
			if paths.AnyDoubted() != (c.want != Sound) {
				t.Errorf("paths are doubted: %v", paths.AnyDoubted())
			}
		})
	}
}
