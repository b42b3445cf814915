package decider

import (
	"fmt"
	"strings"

	"github.com/bronzestall/bronzestall/intent"
)

// dump describes what each process believes, for the message of a failed run.
func (world *world) dump() string {
	var text strings.Builder
	for _, process := range world.processes {
		reign := process.decider.reign
		if reign == nil {
			fmt.Fprintf(&text, "%s: no reign, paused %t\n", process.name, process.paused)
			continue
		}
		fmt.Fprintf(&text, "%s: fence %d, away %t, paused %t, pending %t\n", process.name, reign.fence, reign.away, process.paused, reign.pending != nil)
		for name := range reign.met {
			dumpUpstream(&text, reign, name)
		}
	}
	for _, engine := range world.engines {
		fmt.Fprintf(&text, "%+v\n", engine.Describe())
	}
	budgets, _ := intent.NewStore(world.platform.Client(), "fukuoka").Budgets(world.t.Context())
	fmt.Fprintf(&text, "budgets %+v\n", budgets)
	return text.String()
}

func dumpUpstream(text *strings.Builder, reign *reign, name string) {
	view, _ := reign.book.View(name)
	fmt.Fprintf(text, "  %s boot %s, age %v, charge %d GiB\n", name, view.State.BootID, reign.now.Sub(view.AsOf), reign.book.ChargedMemory(name, reign.now)/gigabyte)
	for _, entry := range reign.book.EntriesOn(name) {
		row := entry.Intent
		fmt.Fprintf(text, "    %s %s %s@%s %d GiB of %s/%d budget %d: status %d, verdict %s, attempts %d, recorded %t\n", row.ID, row.Verb, row.Model, row.Version,
			row.Memory/gigabyte, row.Sender.VM, row.Sender.Reign, row.Budget, reign.book.Status(entry, reign.now), entry.Verdict, entry.Attempts, entry.Recorded)
	}
}
