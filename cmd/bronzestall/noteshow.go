package main

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/note"
	"github.com/bronzestall/bronzestall/release"
)

// noteShowCommand shows the catalogue at one number.
type noteShowCommand struct {
	platformFlags
	Number uint64 `arg:"" optional:"" help:"Number of the note; the one in force if left out."`
}

// Run prints the catalogue at the number and the note that made it. A number that is not accepted yet is a
// usageError.
func (command *noteShowCommand) Run(ctx context.Context, environment *environment, printer *printer) error {
	_, _, ledger, err := command.open(environment)
	if err != nil {
		return err
	}
	entry, err := command.entry(ctx, ledger)
	if err != nil {
		return err
	}
	state, err := ledger.At(ctx, entry.Number)
	if err != nil {
		return err
	}
	result := struct {
		Entry     release.Entry
		Catalogue catalogue.Catalogue
	}{entry, state.Catalogue}
	printer.print(result, func(page *page) { printState(page, entry, state) })
	return nil
}

// entry returns the entry of the number, or the newest one if no number is given.
func (command *noteShowCommand) entry(ctx context.Context, ledger *release.Ledger) (release.Entry, error) {
	head, err := ledger.Head(ctx)
	if err != nil || command.Number == 0 || command.Number == head.Number {
		return head, err
	}
	if command.Number > head.Number {
		return release.Entry{}, &usageError{message: "there is no such number yet"}
	}
	return ledger.Entry(ctx, command.Number)
}

// printState prints the size, the note and every entry of a catalogue.
func printState(page *page, entry release.Entry, state release.InForce) {
	size := state.Catalogue.Size()
	page.line("Number %d: %d models, %d adapters, %d services.", state.Number, size.Models, size.Adapters, size.Services)
	if entry.Number > 0 {
		page.line("Note %s, accepted by %s at %s: %s", entry.Note, entry.By, entry.At.Format(time.RFC3339), entry.Summary)
	}
	for _, line := range note.Lines(catalogue.Catalogue{}, catalogue.Compare(catalogue.Catalogue{}, state.Catalogue)) {
		page.line("  %s%s", line.Entry, fieldsOf(line))
	}
}

// printLines prints the lines of a comparison.
func printLines(page *page, lines []note.Line) {
	for _, line := range lines {
		page.line("  %s", line)
	}
}

// fieldsOf returns the fields of a line, each after two spaces.
func fieldsOf(line note.Line) string {
	text := ""
	for _, field := range line.Fields {
		text += "  " + field.String()
	}
	return text
}
