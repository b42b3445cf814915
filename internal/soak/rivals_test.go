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
	// applications is the number of times that an operator applies a note whose end is unclear.
	applications = 8
	noteEvery    = 40 * time.Second
)

// operate lets two operators apply conflicting notes at once until the end.
func (world *world) operate(judge *judge, seed uint64, end time.Time) {
	random := rand.New(rand.NewPCG(seed, 4))
	var checks sync.WaitGroup
	defer checks.Wait()
	for round := 1; time.Now().Before(end); round++ {
		time.Sleep(noteEvery)
		state, err := world.state()
		if err != nil {
			judge.count("note not written")
			continue
		}
		numbers := make([]uint64, 2)
		var operators sync.WaitGroup
		for number := range numbers {
			content := world.change(state, random, fmt.Sprintf("change-%d-%d-%d", seed, round, number))
			operators.Go(func() { numbers[number] = world.applyUntilClear(judge, content) })
		}
		operators.Wait()
		if numbers[0] > 0 && numbers[1] > 0 {
			judge.breach("two notes against number %d were accepted, as %d and %d", state.Number, numbers[0], numbers[1])
		}
		if number := max(numbers[0], numbers[1]); number > 0 {
			checks.Go(func() { judge.expect(number) })
		}
	}
}

// applyUntilClear applies a note until it is accepted or refused, and returns its number or zero. Applying
// an accepted note again must give the same number.
func (world *world) applyUntilClear(judge *judge, content string) uint64 {
	for range applications {
		entry, err := world.accept(content)
		var conflict *release.ConflictError
		switch {
		case err == nil:
			judge.count("note accepted")
			if again, err := world.accept(content); err == nil && again.Number != entry.Number {
				judge.breach("a note applied twice is number %d and %d", entry.Number, again.Number)
			}
			return entry.Number
		case errors.As(err, &conflict):
			judge.count("note refused")
			return 0
		}
		time.Sleep(2 * time.Second)
	}
	judge.count("note unclear")
	return 0
}

func (world *world) accept(content string) (release.Entry, error) {
	parsed, err := note.Parse("note.yaml", []byte(content))
	if err != nil {
		panic(err)
	}
	client := datastore.NewClient(datastore.ClientSettings{Address: platformAddress, Dial: world.wires.dialler("operator")}, world.clock)
	defer client.Close()
	return release.NewLedger(client, client, world.clock).Accept(context.Background(), parsed, "operator")
}

// change writes a note against the state: a new version of a model or adapter, or a model or adapter
// added or withdrawn.
func (world *world) change(state release.InForce, random *rand.Rand, name string) string {
	version := fmt.Sprint(state.Number + 1)
	head := fmt.Sprintf("Note: %s\nBase: %d\nSummary: change\n", name, state.Number)
	_, hasExtra := state.Catalogue.Model("extra")
	_, hasLate := state.Catalogue.Adapter("round", "late")
	switch random.IntN(4) {
	case 0:
		return head + "Models:\n  Changed:\n    - {Name: plan, Version: \"" + version + "\", Weights: 10GiB}\n"
	case 1:
		return head + "Adapters:\n  Changed:\n    - {Name: shop, Model: round, Version: \"" + version + "\"}\n"
	case 2:
		if hasExtra {
			return head + "Models:\n  Withdrawn: [extra]\n"
		}
		return head + "Models:\n  Added:\n    - {Name: extra, Version: \"" + version + "\", Weights: 12GiB}\n"
	default:
		if hasLate {
			return head + "Adapters:\n  Withdrawn:\n    - {Name: late, Model: round}\n"
		}
		return head + "Adapters:\n  Added:\n    - {Name: late, Model: round, Version: \"" + version + "\"}\n"
	}
}
