package event

import (
	"flag"
	"strconv"
	"testing"

	"github.com/bronzestall/bronzestall/internal/doctable"
)

var update = flag.Bool("update", false, "write docs/EVENTS.md")

func TestEventsPageMatchesTheCatalogue(t *testing.T) {
	const page = "../docs/EVENTS.md"
	var rows [][]string
	for _, event := range All() {
		severity := [...]string{"info", "warning", "error"}[event.Severity]
		rows = append(rows, []string{strconv.Itoa(event.Number), event.Name, severity, event.Meaning})
	}
	table := doctable.Format([]string{"Number", "Name", "Severity", "Meaning"}, rows)
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
		t.Error("docs/EVENTS.md differs from the catalogue; run go test ./event -update")
	}
}
