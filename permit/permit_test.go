package permit

import (
	"context"
	"encoding/json"
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

// alwaysHolds is a guard that always holds.
var alwaysHolds = datastore.Write{Key: datastore.Key{Table: "Fences", Row: "none"}, Check: true, Only: true}

// system is a set of data centres that share one weight store.
type system struct {
	fake    *platformfake.Platform
	clients []*platformfake.Client
	quotas  []*Quota
	busy    []int
	total   int
}

func newSystem(count, total int, seed uint64) *system {
	clock := testingclock.NewFakeClock(time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC))
	created := &system{fake: platformfake.New(clock, rand.New(rand.NewPCG(seed, 1))), busy: make([]int, count), total: total}
	for _, name := range centres[:count] {
		client := created.fake.Client()
		created.clients = append(created.clients, client)
		created.quotas = append(created.quotas, NewQuota(client, Settings{
			Name: Loads, Total: total, DataCentres: centres[:count], DataCentre: name,
		}))
	}
	return created
}

func (system *system) sync(i, waiting int) {
	_ = system.quotas[i].Sync(context.Background(), alwaysHolds, Usage{Busy: system.busy[i], Waiting: waiting})
}

func (system *system) slots() []int {
	var slots []int
	for _, quota := range system.quotas {
		slots = append(slots, quota.Slots())
	}
	return slots
}

func TestQuotaLendsSlotsAndKeepsFloor(t *testing.T) {
	system := newSystem(3, 4, 1)
	for i := range system.quotas {
		system.sync(i, 0)
	}
	if got := fmt.Sprint(system.slots()); got != "[2 1 1]" {
		t.Fatalf("slots %s, want [2 1 1]", got)
	}
	system.busy[2] = 1
	system.sync(2, 3)
	system.sync(0, 0)
	system.sync(2, 3)
	if got := fmt.Sprint(system.slots()); got != "[1 1 2]" {
		t.Fatalf("slots %s after a data centre needed more, want [1 1 2]", got)
	}
	system.busy[2] = 2
	system.sync(0, 2)
	system.sync(2, 0)
	if got := fmt.Sprint(system.slots()); got != "[1 1 2]" {
		t.Fatalf("slots %s, a busy slot was transferred", got)
	}
	system.busy[2] = 0
	system.sync(2, 0)
	system.sync(0, 2)
	if got := fmt.Sprint(system.slots()); got != "[2 1 1]" {
		t.Fatalf("slots %s, want the slot returned", got)
	}
}

// TestCutOffDataCentreKeepsItsShare checks that a partitioned data centre keeps its floor while the others need
// every slot.
// TestSharesKeepUnknownFields guards against issue 48: a data centre that recorded its need erased what a newer build had written
// in the shares.
func TestSharesKeepUnknownFields(t *testing.T) {
	written := `[{"DataCentre":"a","Slots":2,"Floor":1},{"DataCentre":"b","Slots":2,"Want":1,"Since":"x"}]`
	quota := NewQuota(nil, Settings{Name: Loads, Total: 4, DataCentres: []string{"a", "b"}, DataCentre: "a"})
	shares, err := quota.decode(datastore.Row{Version: 1, Value: []byte(written)})
	if err != nil {
		t.Fatal(err)
	}
	content, err := json.Marshal(quota.next(shares, Usage{Busy: 4}))
	want := `[{"DataCentre":"a","Slots":2,"Want":2,"Floor":1},{"DataCentre":"b","Slots":2,"Want":1,"Since":"x"}]`
	if err != nil || string(content) != want {
		t.Errorf("the row becomes %s, %v, want %s", content, err, want)
	}
}

func TestCutOffDataCentreKeepsItsShare(t *testing.T) {
	system := newSystem(3, 4, 1)
	system.sync(1, 0)
	system.clients[1].SetPartitioned(true)
	for range 5 {
		system.sync(0, 4)
		system.sync(2, 4)
		system.sync(1, 1)
	}
	if got := system.quotas[1].Slots(); got != 1 {
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

// TestRandomHistoriesKeepTheLimit checks the starts and ends of loads of all data centres against a semaphore,
// while writes of the table service fail or have unclear results.
func TestRandomHistoriesKeepTheLimit(t *testing.T) {
	for _, count := range []int{3, 5} {
		for seed := range uint64(20) {
			runLoads(t, newSystem(count, 4, seed), seed)
		}
	}
}

func runLoads(t *testing.T, system *system, seed uint64) {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 2))
	system.fake.SetRates(platformfake.Rates{Unavailable: 0.1, UnclearWithEffect: 0.1, UnclearWithoutEffect: 0.1})
	var history []porcupine.Operation
	record := func(centre, change int) {
		moment := int64(2 * len(history))
		system.busy[centre] += change
		history = append(history, porcupine.Operation{ClientId: centre, Input: change, Call: moment, Return: moment + 1})
	}
	moved, before := 0, fmt.Sprint(system.slots())
	for range 1500 {
		centre := random.IntN(len(system.quotas))
		switch random.IntN(8) {
		case 0:
			system.clients[centre].FailWrites(platformfake.UnclearLate)
		case 1:
			system.fake.ApplyLate()
		case 2, 3:
			if system.busy[centre] > 0 {
				record(centre, -1)
			}
		case 4, 5:
			if system.busy[centre] < system.quotas[centre].Slots() {
				record(centre, 1)
			}
		default:
			system.sync(centre, random.IntN(3))
		}
		if after := fmt.Sprint(system.slots()); after != before {
			before = after
			moved++
		}
	}
	if !porcupine.CheckOperations(semaphoreModel(system.total), history) {
		t.Fatalf("seed %d, %d data centres: more concurrent loads than the limit", seed, len(system.quotas))
	}
	if moved < 10 || len(history) < 100 {
		t.Fatalf("seed %d: only %d transfers of slots and %d changes of loads", seed, moved, len(history))
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
		t.Errorf("%d starts in 100 s with 2 of 4 slots of 2 per second, want 100", starts)
	}
	now = now.Add(time.Minute)
	if got := bucket.Available(1, now); got != 1 {
		t.Errorf("%d starts available of 2 slots with one busy, want 1", got)
	}
	bucket.SetSlots(4, now)
	if got := bucket.Available(0, now); got != 2 {
		t.Errorf("%d starts available right after two slots were added, want 2", got)
	}
}

// TestAllocator lets many daemons report, lose grants and restart. The sum of the grants that they may still use
// must stay within the total.
func TestAllocator(t *testing.T) {
	const daemons, total = 72, 7
	random := rand.New(rand.NewPCG(1, 3))
	now := time.Date(2026, 3, 1, 4, 0, 0, 0, time.UTC)
	allocator := NewAllocator(5 * time.Second)
	type heldGrant struct {
		grant Grant
		until time.Time
	}
	heldGrants := make([]heldGrant, daemons)
	served := map[int]bool{}
	for range 20000 {
		now = now.Add(10 * time.Millisecond)
		daemon := random.IntN(daemons)
		current := &heldGrants[daemon]
		if now.After(current.until) {
			*current = heldGrant{}
		}
		report := Report{Sequence: current.grant.Sequence, Waiting: random.IntN(3)}
		grant := allocator.Update(fmt.Sprint(daemon), report, total, now)
		if random.IntN(4) > 0 {
			*current = heldGrant{grant: grant, until: now.Add(grant.Lasts)}
			served[daemon] = served[daemon] || grant.Transfers > 0
		}
		sum := 0
		for _, other := range heldGrants {
			if !now.After(other.until) {
				sum += other.grant.Transfers
			}
		}
		if sum > total {
			t.Fatalf("%d transfers in valid grants, the limit is %d", sum, total)
		}
	}
	if len(served) < daemons {
		t.Errorf("only %d of %d daemons were ever granted a transfer", len(served), daemons)
	}
}
