package permit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	testingclock "k8s.io/utils/clock/testing"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/platformfake"
)

var centres = []string{"fukuoka", "kumamoto", "kagoshima", "oita", "saga"}

// free is a guard that always holds.
var free = datastore.Write{Key: datastore.Key{Table: "Fences", Row: "none"}, Check: true, Only: true}

// shop is one weight store shared by data centres.
type shop struct {
	fake      *platformfake.Platform
	clients   []*platformfake.Client
	divisions []*Quota
	busy      []int
	total     int
}

func newShop(count, total int, seed uint64) *shop {
	clock := testingclock.NewFakeClock(time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC))
	made := &shop{fake: platformfake.New(clock, rand.New(rand.NewPCG(seed, 1))), busy: make([]int, count), total: total}
	for _, name := range centres[:count] {
		client := made.fake.Client()
		made.clients = append(made.clients, client)
		made.divisions = append(made.divisions, NewQuota(client, Settings{
			Name: Loads, Total: total, DataCentres: centres[:count], DataCentre: name,
		}))
	}
	return made
}

func (shop *shop) sync(i, waiting int) {
	_ = shop.divisions[i].Sync(context.Background(), free, Usage{Busy: shop.busy[i], Waiting: waiting})
}

func (shop *shop) slots() []int {
	var slots []int
	for _, division := range shop.divisions {
		slots = append(slots, division.Slots())
	}
	return slots
}

func TestDivisionLendsAndKeepsFloor(t *testing.T) {
	shop := newShop(3, 4, 1)
	for i := range shop.divisions {
		shop.sync(i, 0)
	}
	if got := fmt.Sprint(shop.slots()); got != "[2 1 1]" {
		t.Fatalf("slots %s, want [2 1 1]", got)
	}
	shop.busy[2] = 1
	shop.sync(2, 3)
	shop.sync(0, 0)
	shop.sync(2, 3)
	if got := fmt.Sprint(shop.slots()); got != "[1 1 2]" {
		t.Fatalf("slots %s after a want, want [1 1 2]", got)
	}
	shop.busy[2] = 2
	shop.sync(0, 2)
	shop.sync(2, 0)
	if got := fmt.Sprint(shop.slots()); got != "[1 1 2]" {
		t.Fatalf("slots %s, a busy slot was given away", got)
	}
	shop.busy[2] = 0
	shop.sync(2, 0)
	shop.sync(0, 2)
	if got := fmt.Sprint(shop.slots()); got != "[2 1 1]" {
		t.Fatalf("slots %s, want the slot back", got)
	}
}

// TestCutOffDataCentreKeepsItsShare lets the others want everything while one is away.
func TestCutOffDataCentreKeepsItsShare(t *testing.T) {
	shop := newShop(3, 4, 1)
	shop.sync(1, 0)
	shop.clients[1].Cut(true)
	for range 5 {
		shop.sync(0, 4)
		shop.sync(2, 4)
		shop.sync(1, 1)
	}
	if got := shop.divisions[1].Slots(); got != 1 {
		t.Fatalf("%d slots while cut off, want 1", got)
	}
}

// semaphoreModel is a counter of loads that never exceeds the limit.
func semaphoreModel(limit int) porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			next := state.(int) + input.(int)
			return next <= limit && next >= 0, next
		},
	}
}

// TestRandomHistoriesKeepTheLimit judges the starts and ends of loads of all data centres.
func TestRandomHistoriesKeepTheLimit(t *testing.T) {
	for _, count := range []int{3, 5} {
		for seed := range uint64(20) {
			runLoads(t, newShop(count, 4, seed), seed)
		}
	}
}

func runLoads(t *testing.T, shop *shop, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	shop.fake.SetRates(platformfake.Rates{Unavailable: 0.1, UnclearWithEffect: 0.1, UnclearWithoutEffect: 0.1})
	var history []porcupine.Operation
	note := func(centre, change int) {
		moment := int64(2 * len(history))
		shop.busy[centre] += change
		history = append(history, porcupine.Operation{ClientId: centre, Input: change, Call: moment, Return: moment + 1})
	}
	moved, before := 0, fmt.Sprint(shop.slots())
	for range 1500 {
		centre := random.IntN(len(shop.divisions))
		switch random.IntN(8) {
		case 0:
			shop.clients[centre].FailWrites(platformfake.UnclearLate)
		case 1:
			shop.fake.ApplyLate()
		case 2, 3:
			if shop.busy[centre] > 0 {
				note(centre, -1)
			}
		case 4, 5:
			if shop.busy[centre] < shop.divisions[centre].Slots() {
				note(centre, 1)
			}
		default:
			shop.sync(centre, random.IntN(3))
		}
		if after := fmt.Sprint(shop.slots()); after != before {
			before = after
			moved++
		}
	}
	if !porcupine.CheckOperations(semaphoreModel(shop.total), history) {
		t.Fatalf("seed %d, %d data centres: more loads at once than the limit", seed, len(shop.divisions))
	}
	if moved < 10 || len(history) < 100 {
		t.Fatalf("seed %d: only %d moves and %d changes of loads", seed, moved, len(history))
	}
}

func TestBucket(t *testing.T) {
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	bucket := NewBucket(2, 4)
	bucket.SetSlots(2, now)
	starts := 0
	for range 1000 {
		now = now.Add(100 * time.Millisecond)
		if bucket.Available(0, now) > 0 {
			bucket.Start(now)
			starts++
		}
	}
	if starts < 99 || starts > 101 {
		t.Errorf("%d starts in 100 s with 2 of 4 slots of 2 a second, want 100", starts)
	}
	now = now.Add(time.Minute)
	if got := bucket.Available(1, now); got != 1 {
		t.Errorf("%d free of 2 slots with one busy, want 1", got)
	}
	bucket.SetSlots(4, now)
	if got := bucket.Available(0, now); got != 2 {
		t.Errorf("%d free right after two slots came, want 2", got)
	}
}

// TestGrants lets many daemons ask, lose answers and restart; the sum of what they may believe
// to hold stays within the total.
func TestGrants(t *testing.T) {
	const daemons, total = 72, 7
	random := rand.New(rand.NewPCG(1, 3))
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	grants := NewAllocator(5 * time.Second)
	type belief struct {
		grant Grant
		until time.Time
	}
	beliefs := make([]belief, daemons)
	served := map[int]bool{}
	for range 20000 {
		now = now.Add(10 * time.Millisecond)
		daemon := random.IntN(daemons)
		held := &beliefs[daemon]
		if now.After(held.until) {
			*held = belief{}
		}
		report := Report{Sequence: held.grant.Sequence, Waiting: random.IntN(3)}
		grant := grants.Update(fmt.Sprint(daemon), report, total, now)
		if random.IntN(4) > 0 {
			*held = belief{grant: grant, until: now.Add(grant.Lasts)}
			served[daemon] = served[daemon] || grant.Transfers > 0
		}
		sum := 0
		for _, other := range beliefs {
			if !now.After(other.until) {
				sum += other.grant.Transfers
			}
		}
		if sum > total {
			t.Fatalf("%d transfers granted, the limit is %d", sum, total)
		}
	}
	if len(served) < daemons {
		t.Errorf("only %d of %d daemons were ever granted a transfer", len(served), daemons)
	}
}
