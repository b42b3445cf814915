package main

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/release"
)

// noteHistoryCommand lists the accepted notes.
type noteHistoryCommand struct {
	platformFlags
	Limit int `help:"Number of notes, at most 100." default:"20"`
}

// Run prints the last notes up to the limit, the newest last. A limit outside 1 to 100 is a usageError.
func (command *noteHistoryCommand) Run(ctx context.Context, environment *environment, printer *printer) error {
	if command.Limit < 1 || command.Limit > 100 {
		return &usageError{message: "--limit must be 1 to 100"}
	}
	_, _, ledger, err := command.open(environment)
	if err != nil {
		return err
	}
	entries, err := ledger.History(ctx, command.Limit)
	if err != nil {
		return err
	}
	result := struct{ Notes []release.Entry }{entries}
	printer.print(result, func(page *page) {
		if len(entries) == 0 {
			page.line("No note was accepted yet.")
			return
		}
		printEntries(page, entries)
	})
	return nil
}

// printEntries prints a table of accepted notes.
func printEntries(page *page, entries []release.Entry) {
	page.row("NUMBER", "NOTE", "BY", "AT", "SUMMARY")
	for _, entry := range entries {
		page.row(entry.Number, entry.Note, entry.By, entry.At.Format(time.RFC3339), entry.Summary)
	}
}
