package lease

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bronzestall/bronzestall/internal/platformfake"
)

// hold is one operation of a history: a process that considers itself the holder under a fencing number.
type hold struct {
	holder string
	fence  uint64
}

// holdModel is a register of the newest fencing number. A hold is legal under a higher number, or under the same
// number by the same holder.
var holdModel = porcupine.Model{
	Init: func() any { return hold{} },
	Step: func(state, input, _ any) (bool, any) {
		last, next := state.(hold), input.(hold)
		return next.fence > last.fence || next == last, next
	},
}

// TestRandomHistoriesAreLinearizable runs candidates of two data centres with random pauses and faults.
func TestRandomHistoriesAreLinearizable(t *testing.T) {
	for seed := range uint64(15) {
		runHistory(t, seed, false)
	}
}

// TestRandomHistoriesWithRestores guards against issue 37: the table service comes back from an older copy again and again, so
// that the record of the holder, and the fencing numbers given out, are lost.
func TestRandomHistoriesWithRestores(t *testing.T) {
	for seed := range uint64(60) {
		runHistory(t, seed, true)
	}
}

// runHistory runs one history, in which the table service comes back from older copies if restores is set.
func runHistory(t *testing.T, seed uint64, restores bool) {
	t.Helper()
	fixture := newFixture(seed)
	fixture.platform.StartEra(1)
	copies := []platformfake.Copy{fixture.platform.Save()}
	random := rand.New(rand.NewPCG(seed, 2))
	var candidates []*Lease
	var clients []*platformfake.Client
	for i := range 4 {
		centre := "fukuoka"
		if i > 1 {
			centre = "kumamoto"
		}
		lease, client := fixture.candidate(fmt.Sprintf("entry-%d", i), centre)
		client.BeforeCommit(func() { fixture.clock.Step(time.Duration(random.IntN(1500)) * time.Millisecond) })
		candidates, clients = append(candidates, lease), append(clients, client)
	}
	fixture.platform.SetRates(platformfake.Rates{Unavailable: 0.1, UnclearWithEffect: 0.1, UnclearWithoutEffect: 0.1})
	var history []porcupine.Operation
	for tick := range int64(2000) {
		fixture.clock.Step(time.Duration(random.IntN(700)) * time.Millisecond)
		chosen := random.IntN(len(candidates))
		if random.IntN(50) == 0 {
			clients[chosen].FailWrites(platformfake.UnclearLate)
		}
		if random.IntN(100) == 0 {
			fixture.platform.ApplyLate()
		}
		if restores && random.IntN(20) == 0 {
			copies = append(copies, fixture.platform.Save())
		}
		if restores && random.IntN(120) == 0 {
			oldest := max(len(copies)-4, 0)
			fixture.platform.Restore(copies[oldest+random.IntN(len(copies)-oldest)])
		}
		if random.IntN(3) > 0 {
			_ = candidates[chosen].Step(context.Background())
		}
		holders := 0
		for i, lease := range candidates {
			fence, _, ok := lease.Held()
			if !ok {
				continue
			}
			holders++
			history = append(history, porcupine.Operation{
				ClientId: i, Input: hold{lease.holder.Name, fence}, Call: 2 * tick, Return: 2*tick + 1,
			})
		}
		if holders > 1 {
			t.Fatalf("seed %d: %d holders at once", seed, holders)
		}
	}
	if len(history) < 100 {
		t.Fatalf("seed %d: only %d holds", seed, len(history))
	}
	if !porcupine.CheckOperations(holdModel, history) {
		t.Fatalf("seed %d: fencing numbers of holders are not in order", seed)
	}
}
