package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// openBudget is a budget with what is known of its holder.
type openBudget struct {
	Budget
	// since is a time at which the budget was already recorded.
	since time.Time
	// senderGone is the time from which the holder sends no more, or zero.
	senderGone time.Time
}

// AddBudget puts the budget of a former holder into the book. The time is one at which it was
// already recorded.
func (book *Tracker) AddBudget(budget Budget, now time.Time) {
	for _, known := range book.budgets {
		if known.Fence == budget.Fence {
			known.Budget = budget
			return
		}
	}
	book.budgets = append(book.budgets, &openBudget{Budget: budget, since: now})
}

// Charge returns the accelerator memory in bytes that is charged on an upstream: for each replica
// the larger of what was decided and what the engine says, and what former holders may still
// decide within their budgets. Its cost follows the entries and replicas of the upstream.
func (book *Tracker) ChargedMemory(name string, now time.Time) int64 {
	view := book.views[name]
	var total int64
	entries := book.byUpstream[name]
	for i, entry := range entries {
		if !book.isCounted(entry, now) || book.duplicated(entries[:i], entry, now) {
			continue
		}
		memory := book.largest(entries[i:], entry, now)
		if replica, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
			memory = max(memory, replica.Memory)
		}
		total += memory
	}
	for _, replica := range view.State.Replicas {
		if replica.Phase != upstream.Failed && !covered(entries, replica) {
			total += replica.Memory
		}
	}
	return total + book.openBudgets(name, now)
}

func (book *Tracker) isCounted(entry *Entry, now time.Time) bool {
	if entry.Intent.Verb != upstream.Load {
		return false
	}
	status := book.Status(entry, now)
	return status == Open || status == Present
}

// duplicated reports whether an earlier entry that counts stands for the same replica.
func (book *Tracker) duplicated(earlier []*Entry, entry *Entry, now time.Time) bool {
	for _, other := range earlier {
		if other.Key() == entry.Key() && book.isCounted(other, now) {
			return true
		}
	}
	return false
}

// largest returns the largest memory in bytes among the entries that count and stand for the same replica.
func (book *Tracker) largest(entries []*Entry, entry *Entry, now time.Time) int64 {
	memory := entry.Intent.Memory
	for _, other := range entries {
		if other.Key() == entry.Key() && book.isCounted(other, now) {
			memory = max(memory, other.Intent.Memory)
		}
	}
	return memory
}

func covered(entries []*Entry, replica upstream.Replica) bool {
	for _, entry := range entries {
		load := entry.Intent.Verb == upstream.Load
		if load && entry.Intent.Model == replica.Model && entry.Intent.Version == replica.Version {
			return true
		}
	}
	return false
}

// openBudgets returns the memory in bytes that former holders may still decide on an upstream
// beyond what is counted. It is negative where a former holder has used the memory of its own
// open rows for replicas without a row, since those rows are counted in full.
func (book *Tracker) openBudgets(name string, now time.Time) int64 {
	var total int64
	view := book.views[name]
	for _, budget := range book.budgets {
		memory := budget.Memory(name)
		if book.budgetClosed(budget, name, now) {
			continue
		}
		var used, rows int64
		for _, entry := range book.byUpstream[name] {
			if entry.Intent.Budget == budget.Fence && book.isCounted(entry, now) {
				used += entry.Intent.Memory
			}
			if entry.Intent.Sender == budget.Sender && book.isOpenLoad(entry, now) && view.FencesReliably() {
				rows += entry.Intent.Memory
			}
		}
		total += max(-rows, memory-used)
	}
	return total
}

func (book *Tracker) isOpenLoad(entry *Entry, now time.Time) bool {
	return entry.Intent.Verb == upstream.Load && book.Status(entry, now) == Open
}

// OpenLoads returns the number of loads from the weight store that former holders may still
// begin within their budgets.
func (book *Tracker) OpenLoads(now time.Time) int {
	total := 0
	for _, budget := range book.budgets {
		for _, share := range budget.Shares {
			if !book.budgetClosed(budget, share.Upstream, now) {
				total += budget.Loads
				break
			}
		}
	}
	return total
}

// budgetClosed reports whether the former holder can decide nothing more on the upstream that
// the view does not show.
func (book *Tracker) budgetClosed(budget *openBudget, name string, now time.Time) bool {
	view, known := book.views[name]
	if !known {
		return false
	}
	if share, _ := budget.Share(name); view.AsOf.After(budget.since) {
		if view.fencesOff(budget.Fence) || share.BootID != "" && view.endsBoot(share.BootID) {
			return true
		}
	}
	return book.budgetSettled(budget, now) && view.AsOf.After(budget.senderGone.Add(book.linger))
}

func (book *Tracker) budgetSettled(budget *openBudget, now time.Time) bool {
	return !budget.senderGone.IsZero() && now.After(budget.senderGone.Add(book.linger))
}

// TrimBudgets returns the budgets whose holder is gone, each with the shares on upstreams that
// have not been seen since. A budget without shares left may be removed.
func (book *Tracker) TrimBudgets(now time.Time) []Budget {
	var trimmed []Budget
	for _, budget := range book.budgets {
		if !book.budgetSettled(budget, now) {
			continue
		}
		rest := budget.Budget
		rest.Shares = nil
		for _, share := range budget.Shares {
			if !book.budgetClosed(budget, share.Upstream, now) {
				rest.Shares = append(rest.Shares, share)
			}
		}
		if len(rest.Shares) < len(budget.Shares) || len(rest.Shares) == 0 {
			trimmed = append(trimmed, rest)
		}
	}
	return trimmed
}

// RemoveBudget takes the budget of a former holder out of the book.
func (book *Tracker) RemoveBudget(fence uint64) {
	for i, budget := range book.budgets {
		if budget.Fence == fence {
			book.budgets = append(book.budgets[:i], book.budgets[i+1:]...)
			return
		}
	}
}

// Permitted returns the highest fencing number of a former holder whose budget permits the
// replica on the upstream, or zero. Budgets that are open go before those that have been closed
// since.
func (book *Tracker) PermittingFence(model string, memory int64, name string, now time.Time) uint64 {
	var open, closed uint64
	for _, budget := range book.budgets {
		assigned, ok := budget.Upstream(model, memory)
		if !ok || assigned != name {
			continue
		}
		if book.budgetClosed(budget, name, now) {
			closed = max(closed, budget.Fence)
			continue
		}
		open = max(open, budget.Fence)
	}
	if open > 0 {
		return open
	}
	return closed
}

// PermittedElsewhere returns the upstreams on which former holders may still load a replica of
// the model without a row, if the model may have most replicas.
func (book *Tracker) PermittedUpstreams(model string, memory int64, most int, now time.Time) []string {
	var names []string
	for _, budget := range book.budgets {
		if book.CountRows(model, budget.Sender) >= most {
			continue
		}
		name, ok := budget.Upstream(model, memory)
		if ok && !book.budgetClosed(budget, name, now) {
			names = append(names, name)
		}
	}
	return names
}

// CountRows returns the number of rows of a sender for a model whose orders an engine may still take.
func (book *Tracker) CountRows(model string, sender Sender) int {
	count := 0
	for _, entry := range book.entries {
		if entry.Recorded && entry.Intent.Sender == sender && entry.Intent.Model == model && !book.IsVoid(entry) {
			count++
		}
	}
	return count
}

// IsVoid reports whether the intent is no load or its engine takes no order for its boot any more.
func (book *Tracker) IsVoid(entry *Entry) bool {
	if entry.Intent.Verb != upstream.Load {
		return true
	}
	view := book.views[entry.Intent.Upstream]
	if _, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
		return false
	}
	return view.AsOf.After(entry.since) && view.endsBoot(entry.Intent.BootID)
}
