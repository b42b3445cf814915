package intent

import (
	"fmt"
	"strings"
	"time"
)

// DescribeCharges lists what is charged on an upstream: the entries with their status, the replicas that the
// engine reports, and the budgets of former holders. It is logged if more is charged than the engine can hold.
func (tracker *Tracker) DescribeCharges(name string, now time.Time) string {
	var text strings.Builder
	for _, entry := range tracker.byUpstream[name] {
		row := entry.Intent
		fmt.Fprintf(&text, "[row %s %s@%s %d, status %d, budget %d, term %d, recorded %t] ",
			row.Verb, row.Model, row.Version, row.Memory, tracker.Status(entry, now), row.Budget, row.Sender.Reign, entry.Recorded)
	}
	view := tracker.views[name]
	for _, replica := range view.State.Replicas {
		fmt.Fprintf(&text, "[present %s@%s %d, %s] ", replica.Model, replica.Version, replica.Memory, replica.Phase)
	}
	for _, budget := range tracker.budgets {
		fmt.Fprintf(&text, "[budget %d of %d, closed %t, sender ended %t] ",
			budget.Fence, budget.Memory(name), tracker.isBudgetClosed(budget, name, now), !budget.senderEnded.IsZero())
	}
	fmt.Fprintf(&text, "[view age %s]", now.Sub(view.AsOf))
	return text.String()
}
