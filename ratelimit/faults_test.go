package ratelimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// newLimitedFleet returns a fleet with even demand for twice the limit that the replica has named for a while, so that
// all daemons know it.
func newLimitedFleet(size int, perSecond float64) *fleet {
	fleet := newFleet(size, perSecond)
	fleet.demand = demands["even"](size, max(40, 4*perSecond, float64(size)/2))
	fleet.patience = 200 * time.Millisecond
	fleet.run(10 * time.Second)
	return fleet
}

// firstGrantor returns the daemon that all ask first.
func (fleet *fleet) firstGrantor() *simDaemon {
	name := Grantors(fleet.daemons[0].membership.Live(), fleet.replica.ID)[0]
	index := slices.IndexFunc(fleet.daemons, func(daemon *simDaemon) bool { return daemon.name == name })
	return fleet.daemons[index]
}

// TestLimitHoldsThroughFaults checks that all daemons together keep to the limit of a replica while they cannot reach
// each other, restart or freeze, and use it again soon after.
func TestLimitHoldsThroughFaults(t *testing.T) {
	cases := []struct {
		name  string
		begin func(fleet *fleet)
		end   func(fleet *fleet)
		// from is the time after the begin of the fault from which requests count. Daemons that lost what they knew must
		// be told by the replica first.
		from time.Duration
	}{
		{"two halves", func(fleet *fleet) {
			for index, daemon := range fleet.daemons {
				daemon.side = index % 2
			}
		}, func(fleet *fleet) {
			for _, daemon := range fleet.daemons {
				daemon.side = 0
			}
		}, 0},
		{"first grantor alone", func(fleet *fleet) { fleet.firstGrantor().side = 1 }, func(fleet *fleet) {
			for _, daemon := range fleet.daemons {
				daemon.side = 0
			}
		}, 0},
		{"all restart", func(fleet *fleet) {
			for _, daemon := range fleet.daemons {
				daemon.restart()
			}
		}, func(*fleet) {}, contact},
		{"first grantor freezes", func(fleet *fleet) { fleet.firstGrantor().frozen = true }, func(fleet *fleet) {
			for _, daemon := range fleet.daemons {
				daemon.frozen = false
			}
		}, 0},
		{"first grantor restarts", func(fleet *fleet) { fleet.firstGrantor().restart() }, func(*fleet) {}, 0},
		{"demand rises tenfold", func(fleet *fleet) {
			before := fleet.demand
			fleet.demand = func(daemon int) float64 { return 10 * before(daemon) }
		}, func(*fleet) {}, 0},
		{"demand moves to one daemon", func(fleet *fleet) {
			fleet.demand = demands["one daemon"](len(fleet.daemons), 80)
		}, func(*fleet) {}, 0},
		{"no demand for a while", func(fleet *fleet) { fleet.demand = func(int) float64 { return 0 } }, func(fleet *fleet) {
			fleet.demand = demands["even"](len(fleet.daemons), max(80, float64(len(fleet.daemons))/2))
		}, 0},
	}
	for _, size := range fleetSizes(t) {
		for _, perSecond := range []float64{1, 20} {
			for _, c := range cases {
				t.Run(fmt.Sprintf("%d daemons, limit %v, %s", size, perSecond, c.name), func(t *testing.T) {
					fleet := newLimitedFleet(size, perSecond)
					began := fleet.now
					c.begin(fleet)
					fleet.run(15 * time.Second)
					c.end(fleet)
					fleet.run(5 * time.Second)
					ended := fleet.now
					fleet.run(30 * time.Second)
					most, use := fleet.most(began.Add(c.from)), fleet.use(ended)
					t.Logf("most %d of %v, use during the fault %.2f, after it %.2f", most, fleet.allowed(), fleet.useBetween(began, began.Add(15*time.Second)), use)
					if float64(most) > fleet.allowed() || use < 0.8 {
						t.Errorf("most %d of %v in %v, use after the fault %.2f", most, fleet.allowed(), window, use)
					}
				})
			}
		}
	}
}

// useBetween returns the mean of arrivals per second between two times, as a share of the limit.
func (fleet *fleet) useBetween(from, to time.Time) float64 {
	count := 0
	for _, at := range fleet.arrivals {
		if at.After(from) && at.Before(to) {
			count++
		}
	}
	return float64(count) / to.Sub(from).Seconds() / fleet.perSecond
}

// TestChangesAreKnownToAllInTime checks within which time all daemons know that a limit was named, lowered, raised or
// ended, though only some of them send requests to the replica.
func TestChangesAreKnownToAllInTime(t *testing.T) {
	for _, size := range fleetSizes(t) {
		fleet := newFleet(size, 0)
		fleet.loss = 0.1
		fleet.patience = 200 * time.Millisecond
		fleet.demand = func(daemon int) float64 {
			if daemon < 3 {
				return 10
			}
			return 0
		}
		fleet.run(5 * time.Second)
		for _, perSecond := range []float64{5, 1, 20, 0} {
			fleet.perSecond = perSecond
			changed := fleet.now
			for fleet.ignorant(perSecond) > 0 && fleet.now.Sub(changed) < time.Minute {
				fleet.run(10 * simStep)
			}
			t.Logf("%d daemons know the limit %v after %v", size, perSecond, fleet.now.Sub(changed))
			if fleet.now.Sub(changed) > contact {
				t.Errorf("%d of %d daemons do not know the limit %v after %v", fleet.ignorant(perSecond), size, perSecond, contact)
			}
			fleet.run(15 * time.Second)
		}
	}
}

// ignorant returns the number of daemons that do not know the limit.
func (fleet *fleet) ignorant(perSecond float64) int {
	count := 0
	for _, daemon := range fleet.daemons {
		if known, _ := daemon.table.Limit(fleet.replica); known != perSecond {
			count++
		}
	}
	return count
}

// FuzzSchedules checks the bound over random schedules of limits, demand, partitions, freezes and restarts of daemons.
// Requests count from contact after the last change of the limit or restart on, as the daemons must be told first.
func FuzzSchedules(f *testing.F) {
	for seed := range uint64(8) {
		f.Add(seed, uint8(4), []byte{0, 1, 2, 3, 4, 5, 6, 7})
	}
	f.Fuzz(func(t *testing.T, seed uint64, size uint8, schedule []byte) {
		random := rand.New(rand.NewPCG(seed, 1))
		fleet := newLimitedFleet(int(size)%12+1, 1+float64(random.IntN(10)))
		counted := fleet.now
		check := func() {
			if most := fleet.most(counted); float64(most) > fleet.allowed() {
				t.Fatalf("%d requests of %v in %v", most, fleet.allowed(), window)
			}
		}
		for _, action := range schedule[:min(len(schedule), 12)] {
			daemon := fleet.daemons[random.IntN(len(fleet.daemons))]
			switch action % 8 {
			case 0:
				check()
				fleet.perSecond = 1 + float64(random.IntN(20))
				counted = fleet.now.Add(contact)
			case 1:
				daemon.restart()
				counted = latest(counted, fleet.now.Add(contact))
			case 2:
				daemon.frozen = !daemon.frozen
			case 3:
				daemon.side = 1 - daemon.side
			case 4:
				fleet.demand = demands["one daemon"](len(fleet.daemons), float64(random.IntN(100)))
			case 5:
				fleet.demand = demands["tenfold"](len(fleet.daemons), float64(random.IntN(200)))
			case 6:
				fleet.demand = func(int) float64 { return 0 }
			case 7:
				fleet.loss = random.Float64() / 2
			}
			fleet.run(time.Duration(random.IntN(6000)) * time.Millisecond)
		}
		check()
	})
}
