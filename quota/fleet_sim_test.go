package quota

import (
	"fmt"
	"testing"
	"time"
)

// The rates of the largest and the smallest account that are served, and a middle one.
const (
	largeRate  = 304028.0
	middleRate = 30000.0
	smallRate  = 2700.0
)

var (
	sizes = []int{4, 23, 118}
	rates = []float64{largeRate, middleRate, smallRate}
)

// ratesOf returns the rates to simulate at the number of daemons: fewer for many, since these take longest.
func ratesOf(size int) []float64 {
	if size > sizes[1] {
		return rates[:1]
	}
	return rates
}

// TestFloodGetsItsRateAndNoMore checks an account at eight times its quota through one daemon and through all: it gets its burst at once,
// at least 0.95 of its rate, and never more than the bound.
func TestFloodGetsItsRateAndNoMore(t *testing.T) {
	for _, size := range sizes {
		for _, rate := range ratesOf(size) {
			for _, way := range []string{"one", "all", "uneven", "loss"} {
				t.Run(fmt.Sprintf("%d daemons, rate %v, %s", size, rate, way), func(t *testing.T) {
					t.Parallel()
					fleet := newSettledFleet(size, rate)
					fleet.demand = map[string]func(int) float64{
						"one": fleet.one(8 * rate), "all": fleet.even(8 * rate), "uneven": fleet.uneven(8 * rate), "loss": fleet.even(8 * rate),
					}[way]
					if way == "loss" {
						fleet.loss = 0.1
					}
					began := fleet.now
					fleet.run(time.Second)
					burst := fleet.rate(began, fleet.now)
					fleet.run(19 * time.Second)
					most, use := fleet.most(start), fleet.rate(began.Add(4*time.Second), fleet.now)
					t.Logf("first second %.2f, most %.3f of the bound, use %.3f, messages %d", burst, most, use, fleet.messages)
					if most > 1 || use < 0.95 {
						t.Errorf("most %.3f of the bound, use %.3f", most, use)
					}
				})
			}
		}
	}
}

// TestUsualUseIsNotRefused checks an account at 0.55 of its rate through all daemons: no more is refused than by one bucket for all. The
// smallest account has a burst of less than two mean requests, so that chance alone exceeds it.
func TestUsualUseIsNotRefused(t *testing.T) {
	for _, size := range sizes {
		for _, rate := range ratesOf(size) {
			t.Run(fmt.Sprintf("%d daemons, rate %v", size, rate), func(t *testing.T) {
				t.Parallel()
				fleet := newSettledFleet(size, rate)
				fleet.demand = fleet.uneven(0.55 * rate)
				fleet.run(20 * time.Second)
				t.Logf("refused %d of %d, one bucket %d, messages %d", fleet.refused, fleet.refused+len(fleet.uses), fleet.idealRefused, fleet.messages)
				if fleet.refused > fleet.idealRefused {
					t.Errorf("refused %d of %d, one bucket %d", fleet.refused, fleet.refused+len(fleet.uses), fleet.idealRefused)
				}
			})
		}
	}
}

// TestQuotaHoldsThroughFaults checks the bound over every window while an account asks for eight times its quota and daemons restart,
// freeze or cannot reach each other, and that the account gets its rate again soon after.
func TestQuotaHoldsThroughFaults(t *testing.T) {
	cases := []struct {
		name  string
		begin func(fleet *fleet)
		end   func(fleet *fleet)
		// large states that the case is simulated with the largest number of daemons too, which takes long.
		large bool
	}{
		{"all restart", func(fleet *fleet) {
			for _, daemon := range fleet.daemons {
				daemon.restart(simGossip)
			}
		}, func(*fleet) {}, true},
		{"first grantor restarts", func(fleet *fleet) { fleet.grantor(0).restart(simGossip) }, func(*fleet) {}, false},
		{"two halves", func(fleet *fleet) {
			for index, daemon := range fleet.daemons {
				daemon.side = index % 2
			}
		}, (*fleet).heal, true},
		{"first grantor alone", func(fleet *fleet) { fleet.grantor(0).side = 1 }, (*fleet).heal, true},
		{"first grantor freezes", func(fleet *fleet) { fleet.grantor(0).frozen = true }, (*fleet).heal, false},
		{"asker freezes", func(fleet *fleet) { fleet.grantor(2).frozen = true }, (*fleet).heal, false},
		{"demand moves to one daemon", func(fleet *fleet) { fleet.demand = fleet.one(8 * fleet.account.Quota.PerSecond) }, func(*fleet) {}, true},
		{"quota lowered", func(fleet *fleet) {
			fleet.account.Quota.PerSecond /= 2
			fleet.account.Quota.Burst /= 2
		}, func(*fleet) {}, false},
	}
	for _, size := range sizes {
		for _, rate := range ratesOf(size) {
			for _, c := range cases {
				if size > sizes[1] && !c.large {
					continue
				}
				t.Run(fmt.Sprintf("%d daemons, rate %v, %s", size, rate, c.name), func(t *testing.T) {
					t.Parallel()
					fleet := newSettledFleet(size, rate)
					fleet.demand = fleet.even(8 * rate)
					fleet.run(5 * time.Second)
					began := fleet.now
					c.begin(fleet)
					fleet.run(10 * time.Second)
					c.end(fleet)
					fleet.run(5 * time.Second)
					ended := fleet.now
					fleet.run(12 * time.Second)
					from := began
					if c.name == "quota lowered" {
						from = began.Add(window)
					}
					most, use := fleet.most(from), fleet.rate(ended, fleet.now)
					t.Logf("most %.3f of the bound, use during the fault %.3f, after it %.3f", most, fleet.rate(began, began.Add(10*time.Second)), use)
					if most > 1 || use < 0.9 {
						t.Errorf("most %.3f of the bound, use %.3f", most, use)
					}
				})
			}
		}
	}
}

// TestUsualUseSurvivesRestart checks that the usual use is admitted within a second after all daemons have started at once.
func TestUsualUseSurvivesRestart(t *testing.T) {
	for _, size := range sizes {
		for _, rate := range ratesOf(size) {
			if rate == smallRate {
				continue
			}
			t.Run(fmt.Sprintf("%d daemons, rate %v", size, rate), func(t *testing.T) {
				t.Parallel()
				fleet := newSettledFleet(size, rate)
				fleet.demand = fleet.even(0.55 * rate)
				for _, daemon := range fleet.daemons {
					daemon.restart(simGossip)
				}
				began := fleet.now
				fleet.run(time.Second)
				first := fleet.refused
				fleet.run(5 * time.Second)
				later := fleet.refused - first
				t.Logf("refused %d in the first second and %d in five more, of %d, use %.2f", first, later, fleet.refused+len(fleet.uses), fleet.rate(began.Add(time.Second), fleet.now))
				if later*20 > fleet.refused+len(fleet.uses) {
					t.Errorf("refused %d after the first second, of %d", later, fleet.refused+len(fleet.uses))
				}
			})
		}
	}
}
