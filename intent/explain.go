package intent

import (
	"fmt"
	"strings"
	"time"
)

// Explain lists what is charged on an upstream, for the log of a broken sum: the entries with
// their status, what the engine shows, and the open budgets of former holders.
func (book *Tracker) DescribeCharges(name string, now time.Time) string {
	var text strings.Builder
	for _, entry := range book.byUpstream[name] {
		row := entry.Intent
		fmt.Fprintf(&text, "[row %s %s@%s %d, status %d, budget %d, reign %d, recorded %t] ",
			row.Verb, row.Model, row.Version, row.Memory, book.Status(entry, now), row.Budget, row.Sender.Reign, entry.Recorded)
	}
	view := book.views[name]
	for _, replica := range view.State.Replicas {
		fmt.Fprintf(&text, "[shown %s@%s %d, %s] ", replica.Model, replica.Version, replica.Memory, replica.Phase)
	}
	for _, budget := range book.budgets {
		fmt.Fprintf(&text, "[budget %d of %d, closed %t, sender gone %t] ",
			budget.Fence, budget.Memory(name), book.budgetClosed(budget, name, now), !budget.senderGone.IsZero())
	}
	fmt.Fprintf(&text, "[view %s old]", now.Sub(view.AsOf))
	return text.String()
}
