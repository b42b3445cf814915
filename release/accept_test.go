package release

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/internal/platformfake"
	"github.com/bronzestall/bronzestall/outcome"
)

const (
	none        = platformfake.None
	unavailable = platformfake.Unavailable
	effect      = platformfake.UnclearWithEffect
	noEffect    = platformfake.UnclearWithoutEffect
	late        = platformfake.UnclearLate
)

// repeated returns a slice with the fault for every attempt of a call.
func repeated(fault platformfake.Fault) []platformfake.Fault {
	faults := make([]platformfake.Fault, maxAttempts)
	for i := range faults {
		faults[i] = fault
	}
	return faults
}

// TestAcceptResolvesLostResponses checks Accept under lost responses, lost and late writes, and an unavailable
// platform.
func TestAcceptResolvesLostResponses(t *testing.T) {
	for _, test := range []struct {
		name string
		// body holds the faults of the writes of the note object, and commit those of the transactions.
		body, commit []platformfake.Fault
		// want is the kind of the error, or -1 if the note is accepted.
		want outcome.Kind
		// number is the number in force afterwards.
		number uint64
	}{
		{"no fault", nil, nil, -1, 1},
		{"note object lost, then written", []platformfake.Fault{noEffect, effect, none}, nil, -1, 1},
		{"response lost, write applied", []platformfake.Fault{none}, []platformfake.Fault{effect}, -1, 1},
		{"response and write lost", []platformfake.Fault{none}, []platformfake.Fault{noEffect, noEffect}, -1, 1},
		{"write applied late", []platformfake.Fault{none}, []platformfake.Fault{late, noEffect}, -1, 1},
		{"platform unavailable at first", []platformfake.Fault{unavailable, unavailable, none}, []platformfake.Fault{unavailable}, -1, 1},
		{"every response lost, all written", []platformfake.Fault{none}, repeated(effect), -1, 1},
		{"every response lost, nothing written", []platformfake.Fault{none}, repeated(noEffect), outcome.NoteUnclear, 0},
		{"platform unavailable for the transaction", []platformfake.Fault{none}, repeated(unavailable), outcome.PlatformUnavailable, 0},
		{"platform unavailable after a lost response", []platformfake.Fault{none}, append(repeated(unavailable)[1:], noEffect), outcome.NoteUnclear, 0},
		{"platform unavailable for the note object", repeated(unavailable), nil, outcome.PlatformUnavailable, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fake := newPlatform(1)
				client := fake.Client()
				client.FailWrites(append(test.body, test.commit...)...)
				entry, err := ledgerOn(client).Accept(t.Context(), noteAdding("a", 0), "operator")
				if kindOf(err) != test.want {
					t.Fatalf("Accept returned %+v, %v", entry, err)
				}
				fake.ApplyLate()
				inForce, err := ledgerOn(fake.Client()).InForce(t.Context())
				if err != nil || inForce.Number != test.number || hasModel(inForce, "a") != (test.number == 1) {
					t.Errorf("in force is %+v, %v", inForce, err)
				}
				again, err := ledgerOn(fake.Client()).Accept(t.Context(), noteAdding("a", 0), "another")
				if err != nil || again.Number != 1 || (test.number == 1 && again.By != "operator") {
					t.Errorf("applying the note again returned %+v, %v", again, err)
				}
			})
		})
	}
}

// TestOneOfTwoConcurrentNotesIsAccepted checks that of two notes on the same base exactly one is accepted, and that
// the other fails with the conflicting notes.
func TestOneOfTwoConcurrentNotesIsAccepted(t *testing.T) {
	for _, fault := range []platformfake.Fault{none, noEffect, late} {
		synctest.Test(t, func(t *testing.T) {
			fake := newPlatform(1)
			accept(t, ledgerOn(fake.Client()), 0, 2)
			second := fake.Client()
			second.FailWrites(none, fault)
			acceptConcurrently := func() {
				second.BeforeCommit(nil)
				accept(t, ledgerOn(fake.Client()), 2, 1)
			}
			second.BeforeCommit(acceptConcurrently)
			_, err := ledgerOn(second).Accept(t.Context(), noteAdding("x", 2), "second")
			var conflict *ConflictError
			if kindOf(err) != outcome.NoteConflict || !errors.As(err, &conflict) {
				t.Fatalf("the second note failed with %v", err)
			}
			if conflict.InForce != 3 || len(conflict.Since) != 1 || len(conflict.Lines) != 1 || conflict.Lines[0].Entry.Name != "model-n3" {
				t.Errorf("the conflict error is %+v", conflict)
			}
			fake.ApplyLate()
			inForce, err := ledgerOn(fake.Client()).InForce(t.Context())
			if err != nil || inForce.Number != 3 || hasModel(inForce, "x") || !hasModel(inForce, "n3") {
				t.Errorf("in force is %+v, %v", inForce, err)
			}
		})
	}
}

// TestLostResponseBeforeAnotherNote covers a transaction that succeeds although its response is lost, and a second
// note that is accepted before the transaction is retried.
func TestLostResponseBeforeAnotherNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		first := fake.Client()
		first.FailWrites(none, effect)
		calls := 0
		first.BeforeCommit(func() {
			calls++
			if calls == 2 {
				if _, err := ledgerOn(fake.Client()).Accept(t.Context(), noteAdding("b", 1), "second"); err != nil {
					t.Errorf("the second note failed with %v", err)
				}
			}
		})
		entry, err := ledgerOn(first).Accept(t.Context(), noteAdding("a", 0), "first")
		if err != nil || entry.Number != 1 || calls != 2 {
			t.Errorf("the first note returned %+v, %v after %d transactions", entry, err, calls)
		}
	})
}

// beforeRead is a table client that calls a function before it reads a row.
type beforeRead struct {
	datastore.Tables
	call func(datastore.Key)
}

func (tables beforeRead) Read(ctx context.Context, key datastore.Key) (datastore.Row, error) {
	tables.call(key)
	return tables.Tables.Read(ctx, key)
}

// TestSameNoteThroughTwoLedgersIsOneNote guards against a conflict error for a note that another ledger accepts
// between the reads of the identifier and of the number in force. The history of seed 52 showed this.
func TestSameNoteThroughTwoLedgersIsOneNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		client := fake.Client()
		first := ledgerOn(client)
		interleaved := false
		first.tables = beforeRead{client, func(key datastore.Key) {
			if key == inForceKey && !interleaved {
				interleaved = true
				accept(t, ledgerOn(fake.Client()), 0, 1)
			}
		}}
		entry, err := first.Accept(t.Context(), noteAdding("n1", 0), "operator")
		if err != nil || entry.Number != 1 || !interleaved {
			t.Errorf("the note that was accepted concurrently returned %+v, %v", entry, err)
		}
	})
}

func TestAcceptRefuses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		ledger := ledgerOn(fake.Client())
		accept(t, ledger, 0, 3)
		before := fake.Counts()
		duplicate := noteAdding("x", 3)
		duplicate.Models.Added[0].Name = "model-n1"
		other := noteAdding("n2", 3)
		other.Summary = "another note of the same identifier"
		for _, test := range []struct {
			name string
			note func() (Entry, error)
			want outcome.Kind
		}{
			{"stale base", func() (Entry, error) { return ledger.Accept(t.Context(), noteAdding("x", 1), "o") }, outcome.NoteConflict},
			{"base above the number in force", func() (Entry, error) { return ledger.Accept(t.Context(), noteAdding("x", 9), "o") }, outcome.NoteConflict},
			{"change that does not fit", func() (Entry, error) { return ledger.Accept(t.Context(), duplicate, "o") }, outcome.NoteInvalid},
			{"identifier of another note", func() (Entry, error) { return ledger.Accept(t.Context(), other, "o") }, outcome.NoteInvalid},
		} {
			if _, err := test.note(); kindOf(err) != test.want {
				t.Errorf("%s: got error %v", test.name, err)
			}
		}
		if after := fake.Counts().Sub(before); after.Writes != 0 || after.Puts != 0 {
			t.Errorf("refused notes caused writes: %+v", after)
		}
	})
}

func TestHistoryKeepsEveryNote(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fake := newPlatform(1)
		ledger := ledgerOn(fake.Client())
		accept(t, ledger, 0, SnapshotEvery+3)
		entries, err := ledger.History(t.Context(), 5)
		if err != nil || len(entries) != 5 || entries[4].Number != SnapshotEvery+3 || entries[0].Snapshot.Number != 0 {
			t.Errorf("history is %+v, %v", entries, err)
		}
		for _, number := range []uint64{0, 1, SnapshotEvery, SnapshotEvery + 2} {
			state, err := ledger.At(t.Context(), number)
			if err != nil || state.Number != number || state.Catalogue.Size().Models != int(number) {
				t.Errorf("state at %d is %d with %+v, %v", number, state.Number, state.Catalogue.Size(), err)
			}
		}
	})
}
