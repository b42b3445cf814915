package release

import (
	"context"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/outcome"
)

// Conflict returns the NoteConflict error of a note that was written against the base, without accepting anything. It
// fails with PlatformUnavailable or Internal if the number in force cannot be read.
func (ledger *Ledger) Conflict(ctx context.Context, base uint64) error {
	head, err := ledger.Head(ctx)
	if err != nil {
		return err
	}
	return ledger.conflict(ctx, base, head)
}

// conflict returns NoteConflict with the changes since the base, as far as they can be read.
func (reader reader) conflict(ctx context.Context, base uint64, head Entry) error {
	conflict := &ConflictError{Base: base, InForce: head.Number}
	if head.Number > base {
		_ = reader.fillConflict(ctx, conflict, head)
	}
	return conflictOutcome(conflict)
}

// conflictOutcome wraps the conflict in an outcome error.
func conflictOutcome(conflict *ConflictError) error {
	return outcome.New(outcome.NoteConflict, "another note was accepted first").WithCause(conflict)
}

// fillConflict sets Since and Lines of a conflict from the history up to the entry in force.
func (reader reader) fillConflict(ctx context.Context, conflict *ConflictError, head Entry) error {
	first := max(conflict.Base, head.Number-min(head.Number, maxScanRows))
	since, err := reader.entriesBetween(ctx, first, head.Number)
	if err != nil {
		return err
	}
	conflict.Since = since
	base, err := reader.stateAt(ctx, conflict.Base)
	if err != nil {
		return err
	}
	now, _, err := reader.advance(ctx, base, head)
	if err != nil {
		return err
	}
	conflict.Lines = note.Lines(base.Catalogue, catalogue.Compare(base.Catalogue, now.Catalogue))
	return nil
}
