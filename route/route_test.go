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

func newCandidates(size int, now time.Time) []Candidate {
	candidates := make([]Candidate, size)
	for n := range candidates {
		candidates[n] = Candidate{Upstream: fmt.Sprint("u", n), Slots: 8, Reported: now}
	}
	return candidates
}

// TestIneligibleCandidatesAreNeverChosen makes 200 choices among four candidates of which only u3 may be chosen.
func TestIneligibleCandidatesAreNeverChosen(t *testing.T) {
	cases := []struct {
		name         string
		requirements Requirements
		edit         func(router *Router, candidate *Candidate)
	}{
		{"leaving", Requirements{}, func(_ *Router, c *Candidate) { c.Leaving = true }},
		{"at capacity", Requirements{}, func(_ *Router, c *Candidate) { c.Running = 7 }},
		{"at capacity for tenants below their share", Requirements{BelowShare: true}, func(_ *Router, c *Candidate) { c.Running = 8 }},
		{"prefill", Requirements{}, func(_ *Router, c *Candidate) { c.Role = upstream.Prefill }},
		{"ejected", Requirements{}, func(r *Router, c *Candidate) { r.Eject(c.Upstream) }},
		{"failing", Requirements{}, func(r *Router, c *Candidate) {
			for range ejectAfter {
				r.RecordFailure(c.Upstream)
			}
		}},
		{"own requests since the report", Requirements{}, func(r *Router, c *Candidate) {
			c.Reported = c.Reported.Add(-time.Second)
			for range 7 {
				r.StartAttempt(c.Upstream, false)
			}
		}},
		{"report with a response", Requirements{}, func(r *Router, c *Candidate) {
			c.Reported = c.Reported.Add(-time.Second)
			r.RecordLoad(c.Upstream, 4, 4)
		}},
		{"without the adapter", Requirements{Adapter: "a"}, func(*Router, *Candidate) {}},
		{"slots left to other daemons", Requirements{Daemons: 4}, func(r *Router, c *Candidate) {
			c.Reported = c.Reported.Add(-time.Second)
			r.StartAttempt(c.Upstream, false)
			r.StartAttempt(c.Upstream, false)
		}},
		{"with affinity, ejected", Requirements{Affinity: 5}, func(r *Router, c *Candidate) { r.Eject(c.Upstream) }},
		{"with a suspect, ejected", Requirements{Affinity: 5, Suspect: true}, func(r *Router, c *Candidate) { r.Eject(c.Upstream) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			router, clock := newRouter()
			candidates := newCandidates(4, clock.Now())
			candidates[3].Adapters = []string{"a"}
			for n := range 3 {
				c.edit(router, &candidates[n])
			}
			for range 200 {
				index, ok := router.Choose(candidates, c.requirements)
				if !ok || index != 3 {
					t.Fatalf("the choice was %d, %t", index, ok)
				}
			}
		})
	}
}

func TestAffinityIsAHint(t *testing.T) {
	router, clock := newRouter()
	candidates := newCandidates(20, clock.Now())
	preferred, _ := router.Choose(candidates, Requirements{Affinity: 42})
	for range 50 {
		if index, _ := router.Choose(candidates, Requirements{Affinity: 42}); index != preferred {
			t.Fatalf("equal affinities went to %d and %d", preferred, index)
		}
	}
	candidates[preferred].Running = 6
	if index, _ := router.Choose(candidates, Requirements{Affinity: 42}); index == preferred {
		t.Error("the affinity overrode the load")
	}
	moved := 0
	for affinity := range uint64(1000) {
		before, _ := router.Choose(candidates[:19], Requirements{Affinity: affinity + 1})
		after, _ := router.Choose(candidates, Requirements{Affinity: affinity + 1})
		if before != after {
			moved++
		}
	}
	if moved > 100 {
		t.Errorf("a twentieth replica moved %d of 1000 affinities", moved)
	}
}

func TestEjectionAndTrial(t *testing.T) {
	router, clock := newRouter()
	candidates := newCandidates(1, clock.Now())
	for range 16 {
		router.Eject("u0")
		router.RecordFailure("u0")
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
		router.RecordProbe("u0", false)
	}
	router.RecordProbe("u0", true)
	candidates[0].Reported = clock.Now()
	if _, ok := router.Choose(candidates, Requirements{}); !ok {
		t.Fatal("no request was permitted on trial")
	}
	attempt := router.StartAttempt("u0", false)
	if _, ok := router.Choose(candidates, Requirements{}); ok {
		t.Error("a second request was permitted on trial")
	}
	attempt.Done()
	if !router.RecordFailure("u0") {
		t.Error("a failure on trial did not eject the upstream")
	}
	router.RecordProbe("u0", true)
	router.RecordSuccess("u0")
	router.StartAttempt("u0", false)
	if _, ok := router.Choose(candidates, Requirements{}); !ok {
		t.Error("a success did not end the trial")
	}
}

func TestOneRequestDoesNotEject(t *testing.T) {
	router, clock := newRouter()
	candidates := newCandidates(1, clock.Now())
	for range 10 {
		router.RecordRequestFailure("u0", 7)
	}
	if _, ok := router.Choose(candidates, Requirements{}); !ok {
		t.Error("repeated failures of one request ejected the upstream")
	}
	router.RecordRequestFailure("u0", 8)
	if !router.RecordRequestFailure("u0", 9) {
		t.Error("three requests that failed did not eject the upstream")
	}
}

func TestIdleUpstreamsAreRemoved(t *testing.T) {
	router, clock := newRouter()
	for n := range 1000 {
		router.StartAttempt(fmt.Sprint(n), false).Done()
	}
	clock.SetTime(clock.Now().Add(2 * pruneAfter))
	router.DueProbes()
	if len(router.states) != 0 {
		t.Errorf("%d states were kept", len(router.states))
	}
}

func BenchmarkChoose(b *testing.B) {
	for name, requirements := range map[string]Requirements{
		"plain": {Daemons: 72}, "affinity": {Daemons: 72, Affinity: 42}, "adapter": {Daemons: 72, Adapter: "a"},
	} {
		b.Run(name, func(b *testing.B) {
			router, clock := newRouter()
			candidates := newCandidates(600, clock.Now())
			for n := range candidates {
				candidates[n].Running = n % 8
				router.StartAttempt(candidates[n].Upstream, false)
				if n%50 == 0 {
					candidates[n].Adapters = []string{"a"}
				}
			}
			b.ReportAllocs()
			for b.Loop() {
				router.Choose(candidates, requirements)
			}
		})
	}
}
