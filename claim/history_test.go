package claim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/outcome"
)

// The operations of a history.
const (
	opClaim    = "claim"
	opComplete = "complete"
	opRelease  = "release"
)

// The results of a claim, which are also the phases of a key. In pending, the completion may not be visible yet:
// a repeated call gets the result done or open.
const (
	free    = "free"
	granted = "granted"
	refused = "refused"
	open    = "open"
	pending = "pending"
	done    = "done"
)

type input struct{ key, op, id string }

type output struct{ result, id string }

type state struct{ phase, id string }

// model is the sequential specification of claims: in open, pending or done no call is granted again.
var model = (&porcupine.NondeterministicModel{
	Partition: byKey,
	Init:      func() []any { return []any{state{phase: free}} },
	Step: func(from, in, out any) []any {
		var next []any
		for _, to := range step(from.(state), in.(input), out.(output)) {
			next = append(next, to)
		}
		return next
	},
}).ToModel()

func byKey(history []porcupine.Operation) [][]porcupine.Operation {
	parts := map[string][]porcupine.Operation{}
	for _, op := range history {
		key := op.Input.(input).key
		parts[key] = append(parts[key], op)
	}
	var all [][]porcupine.Operation
	for _, part := range parts {
		all = append(all, part)
	}
	return all
}

func step(from state, in input, out output) []state {
	switch in.op {
	case opComplete:
		return []state{{done, in.id}, {pending, in.id}}
	case opRelease:
		return []state{{phase: free}, {phase: refused}}
	}
	switch out.result {
	case granted:
		if from.phase == free || from.phase == refused {
			return []state{{phase: open}}
		}
	case refused:
		if from.phase == free {
			return []state{from, {phase: refused}}
		}
		return []state{from}
	case open:
		if from.phase == open || from.phase == refused || from.phase == pending {
			return []state{from}
		}
	case done:
		if (from.phase == done || from.phase == pending) && from.id == out.id {
			return []state{{done, from.id}}
		}
	}
	return nil
}

// history records operations with the times of a shared logical clock.
type history struct {
	tick  atomic.Int64
	mutex sync.Mutex
	ops   []porcupine.Operation
}

func (history *history) run(client int, in input, work func() output) output {
	begin := history.tick.Add(1)
	out := work()
	end := history.tick.Add(1)
	history.mutex.Lock()
	defer history.mutex.Unlock()
	history.ops = append(history.ops, porcupine.Operation{ClientId: client, Input: in, Call: begin, Output: out, Return: end})
	return out
}

// resultOf returns the result of a claim.
func resultOf(response *Response, err error) output {
	switch {
	case response != nil:
		return output{done, string(response.Body)}
	case outcome.Is(err, outcome.ClaimUnavailable):
		return output{result: refused}
	case err != nil:
		return output{result: open}
	default:
		return output{result: granted}
	}
}

// TestHistoriesOfClaims runs calls and repeated calls through four daemons over a faulty table service. Some calls
// are abandoned after the claim. It checks that each history is linearizable and that no key is executed twice.
func TestHistoriesOfClaims(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runHistory(t, seed) })
		})
	}
}

func runHistory(t *testing.T, seed uint64) {
	fake := newPlatform(seed)
	fake.SetDelay(time.Millisecond, 30*time.Millisecond)
	fake.SetRates(platformfake.Rates{Unavailable: 0.1, UnclearWithEffect: 0.15, UnclearWithoutEffect: 0.1})
	ctx, stop := context.WithCancel(t.Context())
	var log history
	var runs sync.Map
	var all, tasks sync.WaitGroup
	var stores []*Store
	for daemon := range 4 {
		store := newStore(fake.Client(), fmt.Sprint("daemon", daemon))
		stores = append(stores, store)
		tasks.Go(func() { store.Run(ctx) })
		for caller := range 3 {
			random := rand.New(rand.NewPCG(seed, uint64(daemon*10+caller)))
			all.Go(func() {
				for n := range 8 {
					time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
					id := fmt.Sprintf("%d.%d.%d", daemon, caller, n)
					key := fmt.Sprint("k", random.IntN(4))
					runCall(ctx, &log, store, input{key, opClaim, id}, daemon*10+caller, random, &runs)
				}
			})
		}
	}
	all.Wait()
	stop()
	tasks.Wait()
	for _, store := range stores {
		store.Flush(t.Context())
	}
	if result := porcupine.CheckOperationsTimeout(model, log.ops, time.Minute); result != porcupine.Ok {
		t.Errorf("the history of %d operations is %s", len(log.ops), result)
	}
	runs.Range(func(key, count any) bool {
		if got := count.(*atomic.Int64).Load(); got > 1 {
			t.Errorf("the call with key %v ran %d times", key, got)
		}
		return true
	})
}

// runCall sends a call once. It may be abandoned before or after its execution, or refused by its upstream.
func runCall(ctx context.Context, log *history, store *Store, in input, client int, random *rand.Rand, runs *sync.Map) {
	var ticket Ticket
	got := log.run(client, in, func() output {
		held, response, err := store.Claim(ctx, call(in.id, in.key))
		ticket = held
		return resultOf(response, err)
	})
	if got.result != granted {
		return
	}
	draw := random.IntN(10)
	switch {
	case draw == 0:
		return
	case draw <= 2:
		in.op = opRelease
		log.run(client, in, func() output { store.Release(ctx, ticket); return output{} })
		return
	}
	count, _ := runs.LoadOrStore(in.key, &atomic.Int64{})
	count.(*atomic.Int64).Add(1)
	time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	if draw == 3 {
		return
	}
	in.op = opComplete
	log.run(client, in, func() output { store.Complete(ctx, ticket, responseOf(in.id)); return output{} })
}
