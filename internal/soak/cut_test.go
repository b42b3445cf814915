package soak

import (
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standinplatform "github.com/bronzestall/bronzestall/internal/standin/platform"
)

// settled returns a world with the first note in force and its models answered in each data centre.
func settled(t *testing.T) *world {
	world := newWorld(t, 2)
	time.Sleep(20 * time.Second)
	if err := world.apply(firstNote); err != nil {
		t.Fatal(err)
	}
	time.Sleep(10 * time.Second)
	return world
}

// ask sends a request through one entry and fails the test unless it is answered in full.
func (world *world) ask(entry *entry, target string) {
	world.t.Helper()
	caller := newCaller(world, uint64(time.Now().UnixNano()))
	caller.only = entry
	defer caller.close()
	if got := caller.chat(target, true, 5); !got.whole {
		world.t.Errorf("%s through %s: %+v", target, entry.name, got)
	}
}

// within waits until the condition holds and fails the test after the bound.
func (world *world) within(bound time.Duration, what string, holds func() bool) {
	world.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(time.Second) {
		if holds() {
			return
		}
	}
	world.t.Errorf("not within %s: %s", bound, what)
}

func (world *world) decidesFor(entry *entry, dataCentre string) bool {
	report, ok := world.report(entry)
	return ok && slices.Contains(report.Decider.For, dataCentre)
}

// TestCutDataCentreServesWhatItCan cuts a data centre off from the platform and from the others.
func TestCutDataCentreServesWhatItCan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := settled(t)
		defer world.close()
		north := world.entries[0]
		world.ask(north, "round")
		time.Sleep(10 * time.Second)
		inside := func(host string) bool {
			return strings.Contains(host, "north") || strings.HasPrefix(host, "entry-1") || strings.HasPrefix(host, "entry-2")
		}
		for _, from := range world.hosts() {
			for _, to := range world.hosts() {
				if inside(from) != inside(to) && from != "desk-1" && to != "desk-1" {
					world.wires.cut(from, to)
				}
			}
		}
		for range 10 {
			time.Sleep(time.Minute)
			world.ask(north, "round")
		}
		world.ask(world.entries[1], "plan")
	})
}

// TestDaemonsStartWithoutThePlatform replaces every daemon, one after the other, while the platform is away.
func TestDaemonsStartWithoutThePlatform(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := settled(t)
		defer world.close()
		for _, entry := range world.entries {
			world.ask(entry, "round")
		}
		world.platform.SetFaults(standinplatform.Faults{Unavailable: true})
		time.Sleep(time.Minute)
		for _, entry := range world.entries {
			world.replace(entry)
			time.Sleep(20 * time.Second)
			if got := world.numberAt(entry); got != 1 {
				t.Errorf("%s has number %d in force after its start without the platform", entry.name, got)
			}
			world.ask(entry, "round")
		}
	})
}

// TestOtherDataCentreTakesOver kills the only daemon of a data centre, and starts it again later.
func TestOtherDataCentreTakesOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		world := settled(t)
		defer world.close()
		south := world.entries[2]
		world.ask(south, "round")
		go world.kill(south, 3*time.Minute)
		others := []*entry{world.entries[0], world.entries[1], world.entries[3]}
		world.within(2*time.Minute, "another daemon decides for south", func() bool {
			return slices.ContainsFunc(others, func(entry *entry) bool { return world.decidesFor(entry, "south") })
		})
		time.Sleep(10 * time.Second)
		for _, entry := range others {
			report, _ := world.report(entry)
			for _, upstream := range report.Upstreams {
				if upstream.Kind == "Engine" && upstream.HeardAgo > 30*time.Second {
					t.Errorf("%s heard %s %s ago", entry.name, upstream.Name, upstream.HeardAgo)
				}
			}
		}
		ended := make(chan result)
		caller := newCaller(world, 7)
		caller.only = others[0]
		defer caller.close()
		time.Sleep(2 * time.Minute)
		go func() { ended <- caller.chat("round", true, 5000) }()
		world.within(2*time.Minute, "the returned daemon decides for south", func() bool { return world.decidesFor(south, "south") })
		if got := <-ended; !got.whole {
			t.Errorf("a stream was cut while the lease was given back: %+v", got)
		}
		world.ask(south, "round")
	})
}
