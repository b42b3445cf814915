// Package doctable writes reference tables and compares them with pages of
// documentation, so that a page cannot drift from the code.
package doctable

import (
	"os"
	"strings"

	"github.com/gravitational/trace"
)

// The marks around a generated table in a page.
const (
	begin = "<!-- table begins -->\n"
	end   = "<!-- table ends -->\n"
)

// Format returns a Markdown table of the rows. Pipes in cells are escaped.
func Format(head []string, rows [][]string) string {
	var text strings.Builder
	writeRow(&text, head)
	rule := make([]string, len(head))
	for index := range rule {
		rule[index] = "---"
	}
	writeRow(&text, rule)
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

// Compare reports whether the page holds exactly the table between its marks.
func Compare(path, table string) (bool, error) {
	_, current, _, err := split(path)
	return current == table, err
}

// Update replaces the table between the marks of the page.
func Update(path, table string) error {
	before, _, after, err := split(path)
	if err != nil {
		return err
	}
	return trace.Wrap(os.WriteFile(path, []byte(before+begin+table+end+after), 0o644))
}

func split(path string) (before, table, after string, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return "", "", "", trace.Wrap(err)
	}
	before, rest, found := strings.Cut(string(content), begin)
	table, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		return "", "", "", trace.BadParameter("%s has no marks of a table", path)
	}
	return before, table, after, nil
}
