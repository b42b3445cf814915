package outcome

import (
	"flag"
	"strconv"
	"testing"

	"github.com/bronzestall/bronzestall/internal/doctable"
)

var update = flag.Bool("update", false, "write docs/ERRORS.md")

func TestErrorsPageMatchesTheTable(t *testing.T) {
	const page = "../docs/ERRORS.md"
	var rows [][]string
	for _, kind := range Kinds() {
		entry := kind.Entry()
		status := strconv.Itoa(entry.Status)
		number := strconv.Itoa(entry.Event)
		rows = append(rows, []string{entry.Name, status, string(entry.Execution), string(entry.Advice), number, entry.Meaning})
	}
	table := doctable.Format([]string{"Kind", "Status", "Outcome", "Send again", "Event", "Meaning"}, rows)
	if *update {
		if err := doctable.Update(page, table); err != nil {
			t.Fatal(err)
		}
	}
	same, err := doctable.Compare(page, table)
	if err != nil {
		t.Fatal(err)
	}
	if !same {
		t.Error("docs/ERRORS.md differs from the table; run go test ./outcome -update")
	}
}
