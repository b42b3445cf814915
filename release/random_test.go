package release

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/internal/invariant"
	"github.com/bronzestall/bronzestall/internal/platformfake"
)

// daemon is a follower that is disconnected from the platform and restarted at random.
type daemon struct {
	client   *platformfake.Client
	follower *Follower
	stop     context.CancelFunc
	// highest is the highest number that the follower has published since its last restart.
	highest uint64
}

// restart replaces the follower by a new one without a state.
func (daemon *daemon) restart(t *testing.T, random *rand.Rand) {
	if daemon.stop != nil {
		daemon.stop()
	}
	source := rand.New(rand.NewPCG(random.Uint64(), 1))
	daemon.follower = NewFollower(daemon.client, daemon.client, clock.RealClock{}, source, FollowerSettings{})
	daemon.stop = startFollower(t, daemon.follower)
	daemon.highest = 0
}

// simulation is a platform with six daemons and one operator.
type simulation struct {
	t        *testing.T
	random   *rand.Rand
	fake     *platformfake.Platform
	operator *Ledger
	daemons  []*daemon
	notes    int
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	fake := newPlatform(seed)
	fake.SetDelay(time.Millisecond, 50*time.Millisecond)
	fake.SetRates(platformfake.Rates{Unavailable: 0.01, UnclearWithEffect: 0.1, UnclearLate: 0.1})
	simulation := &simulation{t: t, random: rand.New(rand.NewPCG(seed, seed)), fake: fake, operator: ledgerOn(fake.Client())}
	for range 6 {
		daemon := &daemon{client: fake.Client()}
		daemon.restart(t, simulation.random)
		simulation.daemons = append(simulation.daemons, daemon)
	}
	return simulation
}

func (simulation *simulation) randomDaemon() *daemon {
	return simulation.daemons[simulation.random.IntN(len(simulation.daemons))]
}

// step applies one random event and advances the time by up to 2 s.
func (simulation *simulation) step() {
	switch simulation.random.IntN(10) {
	case 0, 1, 2, 3:
		simulation.writeNote()
	case 4:
		simulation.randomDaemon().client.SetPartitioned(simulation.random.IntN(2) == 0)
	case 5:
		simulation.randomDaemon().restart(simulation.t, simulation.random)
	case 6, 7:
		simulation.offer(simulation.randomDaemon(), simulation.randomDaemon())
	case 8:
		simulation.fake.SetDown(simulation.random.IntN(3) == 0)
	case 9:
		simulation.fake.ApplyLate()
	}
	time.Sleep(time.Duration(simulation.random.IntN(2_000)) * time.Millisecond)
	synctest.Wait()
}

// writeNote submits a note on the number in force. Errors are ignored, since faults are injected.
func (simulation *simulation) writeNote() {
	inForce, err := simulation.operator.InForce(simulation.t.Context())
	if err != nil {
		return
	}
	simulation.notes++
	_, _ = simulation.operator.Accept(simulation.t.Context(), noteAdding(fmt.Sprint(simulation.notes), inForce.Number), "operator")
}

// offer announces the number of one daemon to another.
func (simulation *simulation) offer(to, from *daemon) {
	inForce, known := from.follower.InForce()
	if known {
		to.follower.Offer(inForce.Number, encodedSource(from.follower))
	}
}

// check verifies that the number of no daemon decreases and that its catalogue matches its number.
func (simulation *simulation) check() {
	for i, daemon := range simulation.daemons {
		inForce, known := daemon.follower.InForce()
		if !known {
			continue
		}
		if inForce.Number < daemon.highest || inForce.Catalogue.Size().Models != int(inForce.Number) {
			simulation.t.Errorf("daemon %d has number %d after %d, with %+v", i, inForce.Number, daemon.highest, inForce.Catalogue.Size())
		}
		daemon.highest = inForce.Number
	}
}

// clearFaults removes all faults, lets the followers catch up and returns the state in force.
func (simulation *simulation) clearFaults() InForce {
	simulation.fake.SetDown(false)
	simulation.fake.SetRates(platformfake.Rates{})
	simulation.fake.ApplyLate()
	for _, daemon := range simulation.daemons {
		daemon.client.SetPartitioned(false)
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	inForce, err := simulation.operator.InForce(simulation.t.Context())
	if err != nil {
		simulation.t.Fatal(err)
	}
	return inForce
}

// TestFollowersConvergeUnderRandomFaults checks that the numbers of followers never decrease while faults are
// injected, and that all followers reach the number in force once the faults end.
func TestFollowersConvergeUnderRandomFaults(t *testing.T) {
	seeds := uint64(10)
	if testing.Short() {
		seeds = 3
	}
	accepted := uint64(0)
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			broken := invariant.Violations()
			simulation := newSimulation(t, seed)
			for range 250 {
				simulation.step()
				simulation.check()
			}
			inForce := simulation.clearFaults()
			simulation.check()
			for i, daemon := range simulation.daemons {
				if daemon.highest != inForce.Number {
					t.Errorf("seed %d: daemon %d has number %d, in force is %d", seed, i, daemon.highest, inForce.Number)
				}
				daemon.stop()
			}
			if invariant.Violations() != broken {
				t.Errorf("seed %d: %d invariants broken", seed, invariant.Violations()-broken)
			}
			accepted += inForce.Number
			advanceTime(10 * time.Second)
		})
	}
	if accepted < seeds*SnapshotEvery {
		t.Errorf("%d notes in %d runs are too few to cover snapshots", accepted, seeds)
	}
}
