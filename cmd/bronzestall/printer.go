package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// printer writes the result of a command, as text or as one JSON value for scripts.
type printer struct {
	out  io.Writer
	json bool
	// err holds the errors of all prints, or nil.
	err error
}

// print writes the value as JSON, or else calls text to write it as text. Errors are kept in err.
func (printer *printer) print(value any, text func(page *page)) {
	if printer.json {
		encoder := json.NewEncoder(printer.out)
		encoder.SetIndent("", "  ")
		printer.err = errors.Join(printer.err, encoder.Encode(value))
		return
	}
	page := &page{tabs: tabwriter.NewWriter(printer.out, 0, 0, 2, ' ', 0)}
	text(page)
	printer.err = errors.Join(printer.err, page.err, page.tabs.Flush())
}

// page writes the text of one result and aligns the cells of adjacent rows.
type page struct {
	tabs *tabwriter.Writer
	// err is the first error of a line, which the writer passes on at once if the line has one cell.
	err error
}

// line writes a line that is not part of a table.
func (page *page) line(format string, args ...any) {
	_, err := fmt.Fprintf(page.tabs, format+"\n", args...)
	page.err = cmp.Or(page.err, err)
}

// row writes the cells of one row of a table.
func (page *page) row(cells ...any) {
	text := make([]string, len(cells))
	for i, cell := range cells {
		text[i] = fmt.Sprint(cell)
	}
	_, err := fmt.Fprintln(page.tabs, strings.Join(text, "\t"))
	page.err = cmp.Or(page.err, err)
}
