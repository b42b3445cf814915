package release

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/outcome"
)

// ledgerInput is one call: the acceptance of a note, or a read of the number in force if Note is empty.
type ledgerInput struct {
	Note string
	Base uint64
}

// ledgerOutput is the result of one call.
type ledgerOutput struct {
	// Number is the number of the accepted note, or the number in force of a read.
	Number uint64
	// Kind is the kind of the error, or -1.
	Kind outcome.Kind
}

// ledgerState lists the accepted notes in order, each as "identifier@base/".
type ledgerState string

// find returns the number of the note with the identifier, and its base. Both are zero if there is none.
func (state ledgerState) find(id string) (number, base uint64) {
	for i, accepted := range strings.Split(string(state), "/") {
		name, after, _ := strings.Cut(accepted, "@")
		if name == id && after != "" {
			base, _ = strconv.ParseUint(after, 10, 64)
			return uint64(i) + 1, base
		}
	}
	return 0, 0
}

func (state ledgerState) number() uint64 {
	return uint64(strings.Count(string(state), "/"))
}

// ledgerModel is the sequential specification: notes are accepted one after the other, each once and only on its own
// base.
var ledgerModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{ledgerState("")} },
	Step: func(state, input, output any) []any {
		var next []any
		for _, state := range stepLedger(state.(ledgerState), input.(ledgerInput), output.(ledgerOutput)) {
			next = append(next, state)
		}
		return next
	},
}).ToModel()

// stepLedger returns the states that are possible after a call with the output.
func stepLedger(state ledgerState, input ledgerInput, output ledgerOutput) []ledgerState {
	if input.Note == "" {
		return statesIf(state, output.Kind != -1 || output.Number == state.number())
	}
	number, base := state.find(input.Note)
	fits := number == 0 && state.number() == input.Base
	with := state + ledgerState(fmt.Sprintf("%s@%d/", input.Note, input.Base))
	switch output.Kind {
	case outcome.NoteUnclear:
		return append(statesIf(state, true), statesIf(with, fits)...)
	case outcome.PlatformUnavailable:
		return statesIf(state, true)
	case outcome.NoteConflict:
		return statesIf(state, number == 0 && !fits)
	case outcome.NoteInvalid:
		return statesIf(state, number > 0 && base != input.Base)
	case -1:
		again := number > 0 && number == output.Number && base == input.Base
		return append(statesIf(state, again), statesIf(with, fits && output.Number == with.number())...)
	default:
		return nil
	}
}

// statesIf returns the state alone if the condition holds, and no state otherwise.
func statesIf(state ledgerState, allowed bool) []ledgerState {
	if !allowed {
		return nil
	}
	return []ledgerState{state}
}

// recorder collects operations with logical timestamps.
type recorder struct {
	ticks      atomic.Int64
	mutex      sync.Mutex
	operations []porcupine.Operation
}

// record executes the call and records it. An unclear acceptance may still take effect later, so its operation does
// not end.
func (recorder *recorder) record(client int, input ledgerInput, call func() ledgerOutput) ledgerOutput {
	begin := recorder.ticks.Add(1)
	output := call()
	end := recorder.ticks.Add(1)
	if output.Kind == outcome.NoteUnclear {
		end = 1 << 62
	}
	recorder.mutex.Lock()
	defer recorder.mutex.Unlock()
	recorder.operations = append(recorder.operations, porcupine.Operation{ClientId: client, Input: input, Output: output, Call: begin, Return: end})
	return output
}

// operate runs one operator, which reads, submits notes and retries unclear ones. Two operators share each identifier.
func operate(t *testing.T, recorder *recorder, number int, ledger *Ledger, random *rand.Rand) {
	for i := range 8 {
		read := recorder.record(number, ledgerInput{}, func() ledgerOutput {
			inForce, err := ledger.InForce(t.Context())
			return ledgerOutput{Number: inForce.Number, Kind: kindOf(err)}
		})
		time.Sleep(time.Duration(random.IntN(50)) * time.Millisecond)
		id := fmt.Sprintf("%d-%d", number/2, i)
		for range 2 {
			output := recorder.record(number, ledgerInput{Note: id, Base: read.Number}, func() ledgerOutput {
				entry, err := ledger.Accept(t.Context(), noteAdding(id, read.Number), "operator")
				return ledgerOutput{Number: entry.Number, Kind: kindOf(err)}
			})
			if output.Kind != outcome.NoteUnclear && random.IntN(4) > 0 {
				break
			}
		}
	}
}

// rates returns the fault rates of a seed: mostly lost responses for even seeds, mostly late writes for odd ones.
func rates(seed uint64) platformfake.Rates {
	if seed%2 == 0 {
		return platformfake.Rates{Unavailable: 0.2, UnclearWithEffect: 0.25, UnclearWithoutEffect: 0.25}
	}
	return platformfake.Rates{Unavailable: 0.02, UnclearWithoutEffect: 0.25, UnclearLate: 0.6}
}

// runOperators runs four operators concurrently and returns their operations.
func runOperators(t *testing.T, seed uint64) []porcupine.Operation {
	fake := newPlatform(seed)
	fake.SetDelay(time.Millisecond, 20*time.Millisecond)
	fake.SetRates(rates(seed))
	recorder := &recorder{}
	var operators sync.WaitGroup
	for number := range 4 {
		operators.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(number)))
			operate(t, recorder, number, ledgerOn(fake.Client()), random)
		})
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		operators.Wait()
	}()
	applyLate(fake, ended)
	fake.SetRates(platformfake.Rates{})
	recorder.record(0, ledgerInput{}, func() ledgerOutput {
		inForce, err := ledgerOn(fake.Client()).InForce(t.Context())
		return ledgerOutput{Number: inForce.Number, Kind: kindOf(err)}
	})
	return recorder.operations
}

// applyLate applies late writes every 4 s, and once more at the end.
func applyLate(fake *platformfake.Platform, ended <-chan struct{}) {
	for {
		select {
		case <-time.After(4 * time.Second):
			fake.ApplyLate()
		case <-ended:
			fake.ApplyLate()
			return
		}
	}
}

// TestHistoriesOfConcurrentOperatorsAreLinearizable checks recorded histories under faults against ledgerModel. It
// also checks that every kind of result occurs.
func TestHistoriesOfConcurrentOperatorsAreLinearizable(t *testing.T) {
	seeds := uint64(60)
	if testing.Short() {
		seeds = 6
	}
	kinds := map[outcome.Kind]int{}
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			operations := runOperators(t, seed)
			for _, operation := range operations {
				kinds[operation.Output.(ledgerOutput).Kind]++
			}
			if result := porcupine.CheckOperationsTimeout(ledgerModel, operations, 0); result != porcupine.Ok {
				t.Errorf("seed %d: the history is %s", seed, result)
			}
		})
	}
	for _, kind := range []outcome.Kind{-1, outcome.NoteConflict, outcome.NoteInvalid, outcome.NoteUnclear, outcome.PlatformUnavailable} {
		if kinds[kind] == 0 && !testing.Short() {
			t.Errorf("no operation ended with kind %d; the injected faults are too rare: %v", kind, kinds)
		}
	}
	t.Log("operations by kind:", kinds)
}
