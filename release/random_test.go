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

// daemon is one follower that is cut off and restarted at random.
type daemon struct {
	client   *platformfake.Client
	follower *Follower
	stop     context.CancelFunc
	// highest is the highest number that this process has shown.
	highest uint64
}

func (daemon *daemon) restart(t *testing.T, random *rand.Rand) {
	if daemon.stop != nil {
		daemon.stop()
	}
	source := rand.New(rand.NewPCG(random.Uint64(), 1))
	daemon.follower = NewFollower(daemon.client, daemon.client, clock.RealClock{}, source, FollowerSettings{})
	daemon.stop = startFollower(t, daemon.follower)
	daemon.highest = 0
}

// simulation is a platform with daemons and an operator.
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
	world := &simulation{t: t, random: rand.New(rand.NewPCG(seed, seed)), fake: fake, operator: ledgerOn(fake.Client())}
	for range 6 {
		daemon := &daemon{client: fake.Client()}
		daemon.restart(t, world.random)
		world.daemons = append(world.daemons, daemon)
	}
	return world
}

func (world *simulation) randomDaemon() *daemon {
	return world.daemons[world.random.IntN(len(world.daemons))]
}

// step does one thing at random.
func (world *simulation) step() {
	switch world.random.IntN(10) {
	case 0, 1, 2, 3:
		world.writeNote()
	case 4:
		world.randomDaemon().client.Cut(world.random.IntN(2) == 0)
	case 5:
		world.randomDaemon().restart(world.t, world.random)
	case 6, 7:
		world.offer(world.randomDaemon(), world.randomDaemon())
	case 8:
		world.fake.SetDown(world.random.IntN(3) == 0)
	case 9:
		world.fake.ApplyLate()
	}
	time.Sleep(time.Duration(world.random.IntN(2_000)) * time.Millisecond)
	synctest.Wait()
}

// writeNote lets the operator write a note against what is in force; it may fail.
func (world *simulation) writeNote() {
	inForce, err := world.operator.InForce(world.t.Context())
	if err != nil {
		return
	}
	world.notes++
	_, _ = world.operator.Accept(world.t.Context(), noteAdding(fmt.Sprint(world.notes), inForce.Number), "operator")
}

func (world *simulation) offer(to, from *daemon) {
	inForce, known := from.follower.InForce()
	if known {
		to.follower.Offer(inForce.Number, encodedSource(from.follower))
	}
}

// check asserts what must hold at any time.
func (world *simulation) check() {
	for i, daemon := range world.daemons {
		inForce, known := daemon.follower.InForce()
		if !known {
			continue
		}
		if inForce.Number < daemon.highest || inForce.Catalogue.Size().Models != int(inForce.Number) {
			world.t.Errorf("daemon %d shows number %d after %d, with %+v", i, inForce.Number, daemon.highest, inForce.Catalogue.Size())
		}
		daemon.highest = inForce.Number
	}
}

// clearFaults ends all faults and returns the state in force.
func (world *simulation) clearFaults() InForce {
	world.fake.SetDown(false)
	world.fake.SetRates(platformfake.Rates{})
	world.fake.ApplyLate()
	for _, daemon := range world.daemons {
		daemon.client.Cut(false)
	}
	time.Sleep(5 * time.Second)
	synctest.Wait()
	inForce, err := world.operator.InForce(world.t.Context())
	if err != nil {
		world.t.Fatal(err)
	}
	return inForce
}

func TestFollowersUnderFaultsAgreeAndNeverGoBack(t *testing.T) {
	seeds := uint64(10)
	if testing.Short() {
		seeds = 3
	}
	accepted := uint64(0)
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			broken := invariant.Broken()
			world := newSimulation(t, seed)
			for range 250 {
				world.step()
				world.check()
			}
			inForce := world.clearFaults()
			world.check()
			for i, daemon := range world.daemons {
				if daemon.highest != inForce.Number {
					t.Errorf("seed %d: daemon %d has number %d, in force is %d", seed, i, daemon.highest, inForce.Number)
				}
				daemon.stop()
			}
			if invariant.Broken() != broken {
				t.Errorf("seed %d: %d invariants broken", seed, invariant.Broken()-broken)
			}
			accepted += inForce.Number
			advanceTime(10 * time.Second)
		})
	}
	if accepted < seeds*SnapshotEvery {
		t.Errorf("%d notes in %d runs: the runs are too tame for snapshots", accepted, seeds)
	}
}
