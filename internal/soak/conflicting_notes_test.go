package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/release"
)

const (
	// maxApplyAttempts is how often an operator applies a note while the result is unclear.
	maxApplyAttempts = 8
	// noteInterval is the time between two pairs of conflicting notes.
	noteInterval = 40 * time.Second
)

// runOperators makes two operators apply conflicting notes at the same time, repeatedly until the end.
func (testbed *testbed) runOperators(checker *checker, seed uint64, end time.Time) {
	random := rand.New(rand.NewPCG(seed, 4))
	var checks sync.WaitGroup
	defer checks.Wait()
	for round := 1; time.Now().Before(end); round++ {
		time.Sleep(noteInterval)
		state, err := testbed.state()
		if err != nil {
			checker.count("note not written")
			continue
		}
		numbers := make([]uint64, 2)
		var operators sync.WaitGroup
		for number := range numbers {
			content := testbed.composeNote(state, random, fmt.Sprintf("change-%d-%d-%d", seed, round, number))
			operators.Go(func() { numbers[number] = testbed.applyUntilClear(checker, content) })
		}
		operators.Wait()
		if numbers[0] > 0 && numbers[1] > 0 {
			checker.recordViolation("two notes against number %d were accepted, as %d and %d", state.Number, numbers[0], numbers[1])
		}
		if number := max(numbers[0], numbers[1]); number > 0 {
			checks.Go(func() { checker.expectInForce(number) })
		}
	}
}

// applyUntilClear applies a note until it is accepted or refused, and returns its number or zero. Applying
// an accepted note again must give the same number.
func (testbed *testbed) applyUntilClear(checker *checker, content string) uint64 {
	for range maxApplyAttempts {
		entry, err := testbed.accept(content)
		var conflict *release.ConflictError
		switch {
		case err == nil:
			checker.count("note accepted")
			if again, err := testbed.accept(content); err == nil && again.Number != entry.Number {
				checker.recordViolation("a note applied twice is number %d and %d", entry.Number, again.Number)
			}
			return entry.Number
		case errors.As(err, &conflict):
			checker.count("note refused")
			return 0
		}
		time.Sleep(2 * time.Second)
	}
	checker.count("note unclear")
	return 0
}

// accept applies a note as an operator does.
func (testbed *testbed) accept(content string) (release.Entry, error) {
	parsed, err := note.Parse("note.yaml", []byte(content))
	if err != nil {
		panic(err)
	}
	client := datastore.NewClient(datastore.ClientSettings{Address: platformAddress, Dial: testbed.network.dialler("operator")}, testbed.clock)
	defer client.Close()
	return release.NewLedger(client, client, testbed.clock).Accept(context.Background(), parsed, "operator")
}

// composeNote writes a note against the state: a new version of a model or adapter, or a model or adapter added or
// withdrawn.
func (testbed *testbed) composeNote(state release.InForce, random *rand.Rand, name string) string {
	version := fmt.Sprint(state.Number + 1)
	header := fmt.Sprintf("Note: %s\nBase: %d\nSummary: change\n", name, state.Number)
	_, hasExtra := state.Catalogue.Model("extra")
	_, hasLate := state.Catalogue.Adapter("round", "late")
	switch random.IntN(4) {
	case 0:
		return header + "Models:\n  Changed:\n    - {Name: plan, Version: \"" + version + "\", Weights: 10GiB}\n"
	case 1:
		return header + "Adapters:\n  Changed:\n    - {Name: shop, Model: round, Version: \"" + version + "\"}\n"
	case 2:
		if hasExtra {
			return header + "Models:\n  Withdrawn: [extra]\n"
		}
		return header + "Models:\n  Added:\n    - {Name: extra, Version: \"" + version + "\", Weights: 12GiB}\n"
	default:
		if hasLate {
			return header + "Adapters:\n  Withdrawn:\n    - {Name: late, Model: round}\n"
		}
		return header + "Adapters:\n  Added:\n    - {Name: late, Model: round, Version: \"" + version + "\"}\n"
	}
}
