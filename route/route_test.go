package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	clocktesting "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/upstream"
)

func newRouter() (*Router, *clocktesting.FakePassiveClock) {
	clock := clocktesting.NewFakePassiveClock(time.Unix(1000, 0))
	return New(clock, rand.New(rand.NewPCG(1, 1))), clock
}

func fleet(size int, now time.Time) []Candidate {
	candidates := make([]Candidate, size)
	for n := range candidates {
		candidates[n] = Candidate{Upstream: fmt.Sprint("u", n), Slots: 8, Reported: now}
	}
	return candidates
}

// TestWhatIsNeverChosen makes 200 choices among four candidates of which only u3 may be chosen.
func TestWhatIsNeverChosen(t *testing.T) {
	cases := []struct {
		name string
		ask  Ask
		edit func(router *Router, candidate *Candidate)
	}{
		{"leaving", Ask{}, func(_ *Router, c *Candidate) { c.Leaving = true }},
		{"full", Ask{}, func(_ *Router, c *Candidate) { c.Running = 7 }},
		{"full for tenants below their share", Ask{Below: true}, func(_ *Router, c *Candidate) { c.Running = 8 }},
		{"prefill", Ask{}, func(_ *Router, c *Candidate) { c.Role = upstream.Prefill }},
		{"ejected", Ask{}, func(r *Router, c *Candidate) { r.Eject(c.Upstream) }},
		{"failing", Ask{}, func(r *Router, c *Candidate) {
			for range ejectAfter {
				r.Failed(c.Upstream)
			}
		}},
		{"own requests since the report", Ask{}, func(r *Router, c *Candidate) {
			c.Reported = c.Reported.Add(-time.Second)
			for range 7 {
				r.Send(c.Upstream, false)
			}
		}},
		{"report of an answer", Ask{}, func(r *Router, c *Candidate) {
			c.Reported = c.Reported.Add(-time.Second)
			r.Report(c.Upstream, 4, 4)
		}},
		{"without the adapter", Ask{Adapter: "a"}, func(*Router, *Candidate) {}},
		{"part of another daemon", Ask{Daemons: 4}, func(r *Router, c *Candidate) {
			c.Reported = c.Reported.Add(-time.Second)
			r.Send(c.Upstream, false)
			r.Send(c.Upstream, false)
		}},
		{"with affinity, ejected", Ask{Affinity: 5}, func(r *Router, c *Candidate) { r.Eject(c.Upstream) }},
		{"with a suspect, ejected", Ask{Affinity: 5, Suspect: true}, func(r *Router, c *Candidate) { r.Eject(c.Upstream) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			router, clock := newRouter()
			candidates := fleet(4, clock.Now())
			candidates[3].Adapters = []string{"a"}
			for n := range 3 {
				c.edit(router, &candidates[n])
			}
			for range 200 {
				index, ok := router.Choose(candidates, c.ask)
				if !ok || index != 3 {
					t.Fatalf("the choice was %d, %t", index, ok)
				}
			}
		})
	}
}

func TestAffinityIsAHint(t *testing.T) {
	router, clock := newRouter()
	candidates := fleet(20, clock.Now())
	home, _ := router.Choose(candidates, Ask{Affinity: 42})
	for range 50 {
		if index, _ := router.Choose(candidates, Ask{Affinity: 42}); index != home {
			t.Fatalf("equal prefixes went to %d and %d", home, index)
		}
	}
	candidates[home].Running = 6
	if index, _ := router.Choose(candidates, Ask{Affinity: 42}); index == home {
		t.Error("the affinity overrode the load")
	}
	moved := 0
	for prefix := range uint64(1000) {
		before, _ := router.Choose(candidates[:19], Ask{Affinity: prefix + 1})
		after, _ := router.Choose(candidates, Ask{Affinity: prefix + 1})
		if before != after {
			moved++
		}
	}
	if moved > 100 {
		t.Errorf("a twentieth replica moved %d of 1000 prefixes", moved)
	}
}

func TestEjectionAndTrial(t *testing.T) {
	router, clock := newRouter()
	candidates := fleet(1, clock.Now())
	for range 16 {
		router.Eject("u0")
		router.Failed("u0")
	}
	for want := time.Second; want <= 4*time.Second; want *= 2 {
		clock.SetTime(clock.Now().Add(want - time.Millisecond))
		if due := router.DueProbes(); len(due) != 0 {
			t.Fatalf("a probe was due before %s", want)
		}
		clock.SetTime(clock.Now().Add(time.Millisecond))
		if due := router.DueProbes(); len(due) != 1 {
			t.Fatalf("no probe was due after %s", want)
		}
		router.Probed("u0", false)
	}
	router.Probed("u0", true)
	candidates[0].Reported = clock.Now()
	if _, ok := router.Choose(candidates, Ask{}); !ok {
		t.Fatal("the trial got no request")
	}
	sent := router.Send("u0", false)
	if _, ok := router.Choose(candidates, Ask{}); ok {
		t.Error("the trial got a second request at once")
	}
	sent.Done()
	if !router.Failed("u0") {
		t.Error("a failed trial did not eject")
	}
	router.Probed("u0", true)
	router.Succeeded("u0")
	router.Send("u0", false)
	if _, ok := router.Choose(candidates, Ask{}); !ok {
		t.Error("a success did not end the trial")
	}
}

func TestOneRequestDoesNotEject(t *testing.T) {
	router, clock := newRouter()
	candidates := fleet(1, clock.Now())
	for range 10 {
		router.FailedBy("u0", 7)
	}
	if _, ok := router.Choose(candidates, Ask{}); !ok {
		t.Error("one request that fails again and again ejected the upstream")
	}
	router.FailedBy("u0", 8)
	if !router.FailedBy("u0", 9) {
		t.Error("three requests that failed did not eject the upstream")
	}
}

func TestIdleUpstreamsAreForgotten(t *testing.T) {
	router, clock := newRouter()
	for n := range 1000 {
		router.Send(fmt.Sprint(n), false).Done()
	}
	clock.SetTime(clock.Now().Add(2 * pruneAfter))
	router.DueProbes()
	if len(router.ledgers) != 0 {
		t.Errorf("%d ledgers were kept", len(router.ledgers))
	}
}

func BenchmarkChoose(b *testing.B) {
	for name, ask := range map[string]Ask{
		"plain": {Daemons: 72}, "affinity": {Daemons: 72, Affinity: 42}, "adapter": {Daemons: 72, Adapter: "a"},
	} {
		b.Run(name, func(b *testing.B) {
			router, clock := newRouter()
			candidates := fleet(600, clock.Now())
			for n := range candidates {
				candidates[n].Running = n % 8
				router.Send(candidates[n].Upstream, false)
				if n%50 == 0 {
					candidates[n].Adapters = []string{"a"}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				router.Choose(candidates, ask)
			}
		})
	}
}
