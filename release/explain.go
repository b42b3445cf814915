package release

import (
	"context"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/note"
)

// explain fills in what changed between the base of a conflict and the entry in force.
func (reader reader) explain(ctx context.Context, conflict *ConflictError, head Entry) error {
	first := max(conflict.Base, head.Number-min(head.Number, scanLimit))
	since, err := reader.between(ctx, first, head.Number)
	if err != nil {
		return err
	}
	conflict.Since = since
	base, err := reader.at(ctx, conflict.Base)
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
