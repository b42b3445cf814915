package decider

import (
	"fmt"
	"strings"

	"github.com/bronzestall/bronzestall/intent"
)

// dump describes the state of each process and engine, for the message of a failed run.
func (cluster *cluster) dump() string {
	var text strings.Builder
	for _, process := range cluster.processes {
		term := process.decider.term
		if term == nil {
			fmt.Fprintf(&text, "%s: no term, paused %t\n", process.name, process.paused)
			continue
		}
		fmt.Fprintf(&text, "%s: fence %d, outage %t, paused %t, pending %t\n", process.name, term.fence, term.outage, process.paused, term.pending != nil)
		for name := range term.seen {
			dumpUpstream(&text, term, name)
		}
	}
	for _, engine := range cluster.engines {
		fmt.Fprintf(&text, "%+v\n", engine.Replicas())
	}
	budgets, _ := intent.NewStore(cluster.platform.Client(), "fukuoka").Budgets(cluster.t.Context())
	fmt.Fprintf(&text, "budgets %+v\n", budgets)
	return text.String()
}

func dumpUpstream(text *strings.Builder, term *term, name string) {
	view, _ := term.tracker.View(name)
	fmt.Fprintf(text, "  %s boot %s, age %v, charge %d GiB\n", name, view.State.BootID, term.now.Sub(view.AsOf), term.tracker.ChargedMemory(name, term.now)/gigabyte)
	for _, entry := range term.tracker.EntriesOn(name) {
		row := entry.Intent
		fmt.Fprintf(text, "    %s %s %s@%s %d GiB of %s/%d budget %d: status %d, verdict %s, attempts %d, recorded %t\n", row.ID, row.Verb, row.Model, row.Version,
			row.Memory/gigabyte, row.Sender.VM, row.Sender.Reign, row.Budget, term.tracker.Status(entry, term.now), entry.Verdict, entry.Attempts, entry.Recorded)
	}
}
