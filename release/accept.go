package release

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/gravitational/trace"

	"github.com/bronzestall/bronzestall/datastore"
	"github.com/bronzestall/bronzestall/event"
	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/outcome"
)

// Accept puts the note in force and returns its entry. It is idempotent: a note that was already accepted returns its
// existing entry. It fails with
//
//   - NoteConflict if Base is not the number in force; the cause is a *ConflictError,
//   - NoteInvalid if the note does not fit the catalogue or its identifier belongs to another note,
//   - PlatformUnavailable if the platform cannot be reached and nothing was accepted,
//   - NoteUnclear if the result is unknown; applying the note again resolves it.
//
// It does not check the note against the capacity; Note.Check does.
func (ledger *Ledger) Accept(ctx context.Context, proposed note.Note, by string) (Entry, error) {
	acceptance, err := ledger.newAcceptance(proposed, by)
	if err != nil {
		return Entry{}, err
	}
	entry, alreadyAccepted, err := acceptance.run(ctx)
	switch {
	case err != nil:
		return Entry{}, err
	case alreadyAccepted:
		event.NoteAnswerRepeated.Log("Note", entry.Note, "InForce", entry.Number)
	default:
		event.NoteAccepted.Log("Note", entry.Note, "InForce", entry.Number, "By", entry.By)
	}
	return entry, nil
}

// FindAccepted returns the entry of the note, and whether the note was already accepted. It fails with NoteInvalid if
// the identifier belongs to another note, or with PlatformUnavailable.
func (ledger *Ledger) FindAccepted(ctx context.Context, proposed note.Note) (Entry, bool, error) {
	acceptance, err := ledger.newAcceptance(proposed, "")
	if err != nil {
		return Entry{}, false, err
	}
	return acceptance.findAccepted(ctx)
}

// newAcceptance prepares the acceptance of a note without calling the platform. It fails with NoteInvalid if the note
// cannot be encoded.
func (ledger *Ledger) newAcceptance(proposed note.Note, by string) (*acceptance, error) {
	body, err := encodeBody(proposed)
	if err != nil {
		return nil, outcome.New(outcome.NoteInvalid, "the note cannot be encoded").WithCause(err)
	}
	return &acceptance{
		Ledger:   ledger,
		note:     proposed,
		by:       by,
		body:     body,
		bodyName: objectName(prefixBody, body),
	}, nil
}

// acceptance is the state of one call of Accept or FindAccepted.
type acceptance struct {
	*Ledger
	note note.Note
	by   string
	// body is the content of the object that holds the note, and bodyName the name of that object.
	body     []byte
	bodyName string
	// unclear is true once a transaction was sent whose result is unknown.
	unclear bool
}

// run returns the entry of the note, and whether the note had been accepted before.
func (acceptance *acceptance) run(ctx context.Context) (Entry, bool, error) {
	earlier, found, err := acceptance.findAccepted(ctx)
	if err != nil || found {
		return earlier, found, err
	}
	head, version, err := acceptance.readHead(ctx)
	if err != nil {
		return Entry{}, false, acceptance.outcomeError(err)
	}
	if head.Number != acceptance.note.Base {
		return acceptance.resolveSuperseded(ctx)
	}
	entry, err := acceptance.prepare(ctx, head)
	if err != nil {
		return Entry{}, false, err
	}
	return acceptance.commit(ctx, entry, version)
}

// findAccepted returns the entry stored under the identifier of the note, and whether there is one.
func (acceptance *acceptance) findAccepted(ctx context.Context) (Entry, bool, error) {
	var entry Entry
	err := acceptance.retry(ctx, func() error {
		var err error
		entry, err = acceptance.entryAt(ctx, idKey(acceptance.note.Note))
		return err
	})
	if errors.Is(err, datastore.ErrNotFound) {
		return Entry{}, false, nil
	}
	if err != nil {
		return Entry{}, false, acceptance.outcomeError(err)
	}
	if entry.Body != acceptance.bodyName {
		return Entry{}, false, outcome.New(outcome.NoteInvalid, "the identifier %s belongs to another note, accepted as number %d", entry.Note, entry.Number)
	}
	return entry, true, nil
}

// prepare writes the note's objects to the object store and returns its entry. It fails with NoteInvalid if the note
// does not fit the catalogue in force.
func (acceptance *acceptance) prepare(ctx context.Context, head Entry) (Entry, error) {
	entry := Entry{
		Number:   head.Number + 1,
		Note:     acceptance.note.Note,
		By:       acceptance.by,
		At:       acceptance.clock.Now().UTC(),
		Summary:  acceptance.note.Summary,
		Body:     acceptance.bodyName,
		Bytes:    len(acceptance.body),
		Snapshot: head.Snapshot,
	}
	base, err := acceptance.readBase(ctx, head)
	if err != nil {
		return Entry{}, acceptance.outcomeError(err)
	}
	next, err := base.applyDifference(Difference{Number: entry.Number, Body: acceptance.body})
	if err != nil {
		return Entry{}, outcome.New(outcome.NoteInvalid, "the note does not fit number %d: %v", base.Number, trace.UserMessage(err))
	}
	if err := acceptance.put(ctx, entry.Body, acceptance.body); err != nil {
		return Entry{}, acceptance.outcomeError(err)
	}
	if entry.Number%SnapshotEvery != 0 {
		return entry, nil
	}
	return acceptance.prepareSnapshot(ctx, entry, next)
}

// prepareSnapshot writes the catalogue after the note to the object store, and adds the snapshot to the entry.
func (acceptance *acceptance) prepareSnapshot(ctx context.Context, entry Entry, next InForce) (Entry, error) {
	content, err := json.Marshal(next.Catalogue)
	if err != nil {
		return Entry{}, outcome.New(outcome.Internal, "the snapshot cannot be encoded").WithCause(err)
	}
	entry.Snapshot = Snapshot{Number: entry.Number, Object: objectName(prefixSnapshot, content)}
	if err := acceptance.put(ctx, entry.Snapshot.Object, content); err != nil {
		return Entry{}, acceptance.outcomeError(err)
	}
	return entry, nil
}

// put writes an object. Repeated writes are harmless, since the name contains the hash of the content.
func (acceptance *acceptance) put(ctx context.Context, name string, content []byte) error {
	return acceptance.retry(ctx, func() error {
		return trace.Wrap(acceptance.objects.Put(ctx, name, content))
	})
}

// outcomeError converts the error of a platform call into an outcome error. It returns NoteUnclear if a transaction
// with an unknown result was sent before.
func (acceptance *acceptance) outcomeError(err error) error {
	var known *outcome.Error
	switch {
	case errors.As(err, &known):
		return known
	case acceptance.unclear:
		return outcome.New(outcome.NoteUnclear, "the platform does not tell whether the note was accepted; apply it again").WithCause(err)
	case errors.Is(err, datastore.ErrUnavailable), errors.Is(err, datastore.ErrUnclear):
		return outcome.New(outcome.PlatformUnavailable, "this call accepted nothing").WithCause(err)
	default:
		return outcome.New(outcome.Internal, "this call accepted nothing").WithCause(err)
	}
}
