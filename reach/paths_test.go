package reach

import (
	"testing"
	"time"
)

func at(milliseconds int) time.Time {
	return time.Unix(1000, 0).Add(time.Duration(milliseconds) * time.Millisecond)
}

func TestCutOff(t *testing.T) {
	type observation struct {
		key     string
		reached bool
		begun   int
		at      int
	}
	cases := []struct {
		name         string
		observations []observation
		cutOff       bool
	}{
		{"nothing known", nil, false},
		{"one replica is dead", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}}, false},
		{"one replica is dead, others answer", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}, {"b", true, 25, 25}, {"c", false, 30, 40}}, false},
		{"two in a row and no proof since", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}, {"b", false, 12, 22}}, true},
		{"the same one twice", []observation{{"a", true, 0, 0}, {"b", true, 0, 0}, {"a", false, 10, 20}, {"a", false, 12, 22}}, false},
		{"the only one", []observation{{"a", true, 0, 0}, {"a", false, 10, 20}}, true},
		{"a proof came while the attempt hung", []observation{{"a", true, 0, 0}, {"a", false, 10, 500}, {"b", true, 600, 600}, {"c", false, 500, 1000}, {"d", false, 550, 1050}}, false},
		{"too long ago", []observation{{"a", false, 0, 10}, {"b", true, 20, 20}, {"c", false, 30, 40}, {"d", false, 6000, 6010}}, false},
		{"back", []observation{{"a", true, 0, 0}, {"a", false, 10, 20}, {"b", false, 12, 22}, {"a", true, 500, 501}}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			paths := New()
			for _, seen := range c.observations {
				if seen.reached {
					paths.Reached(seen.key, at(seen.at))
				} else {
					paths.Failed(seen.key, Refused, at(seen.begun), at(seen.at))
				}
			}
			if _, cutOff := paths.IsCutOff(); cutOff != c.cutOff {
				t.Errorf("the daemon is cut off: %v", cutOff)
			}
		})
	}
}

// TestStates guards against issue 49: what passes for a proof of a path, and what speaks against it. Each case is a history of one path
// beside another that answers all the time.
func TestStates(t *testing.T) {
	const key = "a"
	paths := func(run func(paths *Paths)) *Paths {
		created := New()
		created.Reached(key, at(0))
		run(created)
		return created
	}
	cases := []struct {
		name string
		run  func(paths *Paths)
		at   int
		want State
	}{
		{"answered", func(*Paths) {}, 100, Sound},
		{"silent for less than it takes", func(paths *Paths) { paths.Began(key, at(100)) }, 450, Sound},
		{"silent", func(paths *Paths) { paths.Began(key, at(100)) }, 600, Suspected},
		{"silent for no longer than lately", func(paths *Paths) {
			paths.Began(key, at(0))
			paths.Reached(key, at(600))
			paths.Began(key, at(1000))
		}, 1850, Sound},
		{"silent for much longer than lately", func(paths *Paths) {
			paths.Began(key, at(0))
			paths.Reached(key, at(900))
			paths.Began(key, at(1000))
		}, 2000, Suspected},
		{"silent until the client left", func(paths *Paths) {
			paths.Began(key, at(100))
			paths.Ended(key, at(100), at(550))
		}, 560, Suspected},
		{"the client left soon", func(paths *Paths) {
			paths.Began(key, at(100))
			paths.Ended(key, at(100), at(300))
		}, 900, Sound},
		{"other bytes came meanwhile", func(paths *Paths) {
			paths.Began(key, at(100))
			paths.Reached(key, at(400))
		}, 900, Sound},
		{"silent for all", func(paths *Paths) { silence(paths, key, 2500) }, 2500, Suspected},
		{"silent for all for long", func(paths *Paths) { silence(paths, key, 4000) }, 4000, Absent},
		{"silent for this daemon only", func(paths *Paths) {
			silence(paths, key, 1500)
			paths.Vouched(key, at(1450), at(1500))
		}, 1600, Dead},
		{"another answer right before the end of a pause", func(paths *Paths) {
			silence(paths, key, 1500)
			paths.Vouched(key, at(1490), at(1500))
			paths.Reached(key, at(1510))
		}, 1600, Sound},
		{"an answer before the probe", func(paths *Paths) {
			silence(paths, key, 1500)
			paths.Vouched(key, at(450), at(1500))
		}, 1600, Suspected},
		{"an answer from the future", func(paths *Paths) {
			silence(paths, key, 1500)
			paths.Vouched(key, at(9000), at(1500))
		}, 1600, Suspected},
		{"reset once", func(paths *Paths) { paths.Failed(key, Reset, at(100), at(101)) }, 200, Suspected},
		{"reset again at once", func(paths *Paths) {
			paths.Failed(key, Reset, at(100), at(101))
			paths.Failed(key, Reset, at(102), at(103))
		}, 200, Suspected},
		{"reset again later", func(paths *Paths) {
			paths.Failed(key, Reset, at(100), at(101))
			paths.Failed(key, Reset, at(300), at(301))
		}, 400, Dead},
		{"reset again, with an answer between", func(paths *Paths) {
			paths.Failed(key, Reset, at(100), at(101))
			paths.Reached(key, at(200))
			paths.Failed(key, Reset, at(300), at(301))
		}, 400, Suspected},
		{"not opened", func(paths *Paths) { paths.Failed(key, NotOpened, at(100), at(600)) }, 700, Closed},
		{"not opened, noticed late", func(paths *Paths) { paths.Failed(key, LateTimeout, at(100), at(800)) }, 900, Suspected},
		{"not opened, noticed late twice", func(paths *Paths) {
			paths.Failed(key, LateTimeout, at(100), at(800))
			paths.Failed(key, LateTimeout, at(810), at(1500))
		}, 1600, Closed},
		{"not opened, noticed late, with an answer between", func(paths *Paths) {
			paths.Failed(key, LateTimeout, at(100), at(800))
			paths.Reached(key, at(805))
			paths.Failed(key, LateTimeout, at(810), at(1500))
		}, 1600, Suspected},
		{"refused", func(paths *Paths) { paths.Failed(key, Refused, at(100), at(101)) }, 200, Closed},
		{"refused long ago", func(paths *Paths) { paths.Failed(key, Refused, at(100), at(101)) }, 5200, Sound},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			paths := paths(c.run)
			paths.Reached("other", at(c.at-1))
			paths.Step(at(c.at))
			if got := paths.State(key, at(c.at)); got != c.want {
				t.Errorf("the state is %v, want %v", got, c.want)
			}
			if doubted := c.want != Sound; paths.AnyDoubted() != doubted && c.want != Sound {
				t.Errorf("paths are doubted: %v", paths.AnyDoubted())
			}
		})
	}
}

// silence lets an attempt that begins at 100 ms and the probes after it get nothing until the time.
func silence(paths *Paths, key string, until int) {
	paths.Began(key, at(100))
	var probeEnds time.Time
	for now := at(100); !now.After(at(until)); now = now.Add(simStep) {
		if !probeEnds.IsZero() && !now.Before(probeEnds) {
			paths.ProbeEnded(key, now)
			probeEnds = time.Time{}
		}
		paths.Reached("other", now)
		for _, probe := range paths.Step(now).Probes {
			probeEnds = now.Add(probe.Timeout)
		}
	}
}

// TestProbesOfASilentReplica checks that there is none while nothing is doubted, and that those of a silent replica become rare.
func TestProbesOfASilentReplica(t *testing.T) {
	paths := New()
	count := func(from, until int) (probes int) {
		for now := from; now < until; now += 100 {
			paths.Reached("other", at(now))
			for _, probe := range paths.Step(at(now)).Probes {
				probes++
				paths.Failed(probe.Key, Reset, at(now), at(now+1))
				paths.ProbeEnded(probe.Key, at(now+1))
			}
		}
		return probes
	}
	paths.Reached("a", at(0))
	if probes := count(0, 10000); probes > 0 {
		t.Errorf("%d probes while nothing is doubted", probes)
	}
	paths.Failed("a", Reset, at(10000), at(10001))
	if probes := count(10100, 11100); probes < 3 || probes > 4 {
		t.Errorf("%d probes in the first second", probes)
	}
	if probes := count(20000, 40000); probes < 9 || probes > 11 {
		t.Errorf("%d probes in 20 s", probes)
	}
}

// TestSuspicionOfAll guards against requests that may run once being lost at one replica after the other: once several are suspected and
// none answers, no path counts as sound until one does.
func TestSuspicionOfAll(t *testing.T) {
	paths := New()
	for _, key := range []string{"a", "b", "c"} {
		paths.Reached(key, at(0))
	}
	paths.Began("a", at(100))
	paths.Began("b", at(200))
	paths.Step(at(650))
	if got := paths.State("c", at(650)); got != Suspected {
		t.Errorf("the third path is %v", got)
	}
	paths.Reached("c", at(660))
	if got := paths.State("c", at(660)); got != Sound {
		t.Errorf("the third path is %v after an answer", got)
	}
	if got := paths.State("a", at(660)); got != Suspected {
		t.Errorf("the first path is %v", got)
	}
}
