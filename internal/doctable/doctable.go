// Package doctable generates reference tables and compares them with the pages
// of the documentation, so that a page cannot differ from the code.
package doctable

import (
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// The markers around a generated table in a page.
const (
	beginMarker = "<!-- table begins -->\n"
	endMarker   = "<!-- table ends -->\n"
)

// Format returns a Markdown table of the rows. Pipes in cells are escaped.
func Format(header []string, rows [][]string) string {
	var text strings.Builder
	writeRow(&text, header)
	separator := make([]string, len(header))
	for index := range separator {
		separator[index] = "---"
	}
	writeRow(&text, separator)
	for _, row := range rows {
		writeRow(&text, row)
	}
	return text.String()
}

func writeRow(text *strings.Builder, cells []string) {
	for _, cell := range cells {
		text.WriteString("| " + strings.ReplaceAll(cell, "|", `\|`) + " ")
	}
	text.WriteString("|\n")
}

// Compare reports whether the text between the markers of the page equals the table.
func Compare(path, table string) (bool, error) {
	_, current, _, err := split(path)
	return current == table, err
}

// Update replaces the text between the markers of the page by the table.
func Update(path, table string) error {
	before, _, after, err := split(path)
	if err != nil {
		return err
	}
	return trace.Wrap(os.WriteFile(path, []byte(before+beginMarker+table+endMarker+after), 0o644))
}

func split(path string) (before, table, after string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", "", "", trace.Wrap(err)
	}
	before, rest, found := strings.Cut(string(content), beginMarker)
	table, after, ended := strings.Cut(rest, endMarker)
	if !found || !ended {
		return "", "", "", trace.BadParameter("%s has no table markers", path)
	}
	return before, table, after, nil
}
