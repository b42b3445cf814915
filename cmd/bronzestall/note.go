package main

import (
	"context"
	"errors"

	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/release"
)

// noteCheckCommand checks a note without applying it.
type noteCheckCommand struct {
	noteFlags
	Offline bool `help:"Check a first note without the platform."`
}

// Run checks the note against the catalogue in force, or against an empty one if it is offline. A note that
// was accepted before passes; a note with another base than the number in force is a conflict.
func (command *noteCheckCommand) Run(ctx context.Context, environment *environment, printer *printer) error {
	if command.Offline {
		candidate, err := command.readOffline(printer)
		if err != nil {
			return err
		}
		return candidate.confirm(printer)
	}
	candidate, err := command.read(ctx, environment, printer)
	if err != nil {
		return err
	}
	earlier, found, err := candidate.ledger.FindAccepted(ctx, candidate.note)
	if err != nil {
		return err
	}
	if found {
		printAccepted(printer, earlier, true)
		return nil
	}
	if candidate.stale() {
		return candidate.conflict(ctx, printer)
	}
	return candidate.confirm(printer)
}

// confirm checks the note and prints that it is valid, or its problems.
func (candidate *candidate) confirm(printer *printer) error {
	if err := candidate.check(printer); err != nil {
		return err
	}
	result := struct {
		Note string
		Base uint64
	}{candidate.note.Note, candidate.note.Base}
	printer.print(result, func(page *page) {
		page.line("%s is in order and fits number %d.", candidate.file, candidate.inForce.Number)
		if candidate.capacity.LargestEngine == 0 {
			page.line("The memory of the engines is not checked: the settings do not state it for each engine.")
		}
	})
	return nil
}

// conflict prints what changed since the base of the note and returns the NoteConflict error.
func (candidate *candidate) conflict(ctx context.Context, printer *printer) error {
	err := candidate.ledger.Conflict(ctx, candidate.note.Base)
	printConflict(printer, err)
	return err
}

// noteDiffCommand shows what a note would change.
type noteDiffCommand struct {
	noteFlags
}

// Run prints the difference between the note and the catalogue in force, also for a note with another base.
func (command *noteDiffCommand) Run(ctx context.Context, environment *environment, printer *printer) error {
	candidate, err := command.read(ctx, environment, printer)
	if err != nil {
		return err
	}
	lines := candidate.note.Diff(candidate.inForce.Catalogue)
	result := struct {
		Note    string
		Base    uint64
		InForce uint64
		Changes []note.Line
	}{candidate.note.Note, candidate.note.Base, candidate.inForce.Number, lines}
	printer.print(result, func(page *page) {
		page.line("Note %s against number %d, which is in force: %s", candidate.note.Note, candidate.inForce.Number, candidate.note.Summary)
		if candidate.stale() {
			page.line("The note was written against number %d and would be refused.", candidate.note.Base)
		}
		printLines(page, lines)
	})
	return nil
}

// noteApplyCommand accepts a note, which puts it in force on every daemon.
type noteApplyCommand struct {
	noteFlags
	By string `help:"Name of the operator in the history." env:"USER" required:"" placeholder:"NAME"`
}

// Run checks the note and accepts it under the next number. A note that was accepted before is not accepted
// again.
func (command *noteApplyCommand) Run(ctx context.Context, environment *environment, printer *printer) error {
	candidate, err := command.read(ctx, environment, printer)
	if err != nil {
		return err
	}
	earlier, found, err := candidate.ledger.FindAccepted(ctx, candidate.note)
	if err != nil {
		return err
	}
	if found {
		printAccepted(printer, earlier, true)
		return nil
	}
	if !candidate.stale() {
		if err := candidate.check(printer); err != nil {
			return err
		}
	}
	entry, err := candidate.ledger.Accept(ctx, candidate.note, command.By)
	if err != nil {
		printConflict(printer, err)
		return err
	}
	printAccepted(printer, entry, false)
	return nil
}

// printAccepted prints the entry of an accepted note; earlier is true if it was accepted before this command.
func printAccepted(printer *printer, entry release.Entry, earlier bool) {
	result := struct {
		release.Entry
		Earlier bool
	}{entry, earlier}
	printer.print(result, func(page *page) {
		if earlier {
			page.line("Note %s was accepted before as number %d by %s.", entry.Note, entry.Number, entry.By)
			return
		}
		page.line("Note %s is accepted as number %d.", entry.Note, entry.Number)
	})
}

// printConflict prints what changed since the base of a note. Errors other than a conflict are ignored.
func printConflict(printer *printer, err error) {
	var conflict *release.ConflictError
	if !outcome.Is(err, outcome.NoteConflict) || !errors.As(err, &conflict) {
		return
	}
	printer.print(conflict, func(page *page) {
		page.line("The note was written against number %d; number %d is in force.", conflict.Base, conflict.InForce)
		if len(conflict.Since) > 0 {
			page.line("Accepted since:")
			printEntries(page, conflict.Since)
		}
		if len(conflict.Lines) > 0 {
			page.line("Changed since:")
			printLines(page, conflict.Lines)
		}
		page.line("Look at what changed, write the note against number %d and apply it again.", conflict.InForce)
	})
}
