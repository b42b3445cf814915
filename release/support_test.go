package release

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"k8s.io/utils/clock"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/outcome"
)

// The tests run in synctest bubbles, in which the real clock is the fake clock of the bubble.

func newPlatform(seed uint64) *platformfake.Platform {
	return platformfake.New(clock.RealClock{}, rand.New(rand.NewPCG(seed, seed)))
}

func ledgerOn(client *platformfake.Client) *Ledger {
	return NewLedger(client, client, clock.RealClock{})
}

func followerOn(client *platformfake.Client) *Follower {
	return NewFollower(client, client, clock.RealClock{}, rand.New(rand.NewPCG(1, 1)), FollowerSettings{})
}

// noteAdding returns a note that adds one model, which is named after the note.
func noteAdding(id string, base uint64) note.Note {
	return note.Note{
		Note:    id,
		Base:    base,
		Summary: "adds " + id,
		Models:  catalogue.Changes[catalogue.Model, string]{Added: []catalogue.Model{{Name: "model-" + id, Version: "1", Weights: 1}}},
	}
}

// accept accepts a number of notes one after the other, starting at the number base.
func accept(t *testing.T, ledger *Ledger, base uint64, count int) {
	t.Helper()
	for i := range uint64(count) {
		id := fmt.Sprintf("n%d", base+i+1)
		entry, err := ledger.Accept(t.Context(), noteAdding(id, base+i), "operator")
		if err != nil || entry.Number != base+i+1 {
			t.Fatalf("Accept of %s returned %+v, %v", id, entry, err)
		}
	}
}

// sourceFunc is a Source that calls a function.
type sourceFunc struct {
	since func(ctx context.Context, number uint64) (Update, error)
}

func (source *sourceFunc) Since(ctx context.Context, number uint64) (Update, error) {
	return source.since(ctx, number)
}

// kindOf returns the kind of an outcome error, or -1 for any other error and for nil.
func kindOf(err error) outcome.Kind {
	var failure *outcome.Error
	if !errors.As(err, &failure) {
		return -1
	}
	return failure.Kind
}

// hasModel reports whether the model that noteAdding adds for the identifier is in force.
func hasModel(inForce InForce, id string) bool {
	_, ok := inForce.Catalogue.Model("model-" + id)
	return ok
}
