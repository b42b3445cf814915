package intent

import (
	"time"

	"github.com/bronzestall/bronzestall/upstream"
)

// trackedBudget is the budget of a former holder and the state of that holder.
type trackedBudget struct {
	Budget
	// since is a time at which the budget was already recorded.
	since time.Time
	// senderEnded is a time from which the holder sends no more orders, or zero if it may still send.
	senderEnded time.Time
}

// AddBudget adds the budget of a former holder, or replaces the one with the same fencing number. The time must be
// one at which it was already recorded.
func (tracker *Tracker) AddBudget(budget Budget, now time.Time) {
	for _, existing := range tracker.budgets {
		if existing.Fence == budget.Fence {
			existing.Budget = budget
			return
		}
	}
	tracker.budgets = append(tracker.budgets, &trackedBudget{Budget: budget, since: now})
}

// ChargedMemory returns the accelerator memory in bytes that is charged on an upstream: for each replica
// the larger of the decided and the reported memory, plus what former holders may still use within
// their budgets. Its cost grows with the entries and replicas of the upstream.
func (tracker *Tracker) ChargedMemory(name string, now time.Time) int64 {
	view := tracker.views[name]
	var total int64
	entries := tracker.byUpstream[name]
	for i, entry := range entries {
		if !tracker.isCharged(entry, now) || tracker.isDuplicate(entries[:i], entry, now) {
			continue
		}
		memory := tracker.largestMemory(entries[i:], entry, now)
		if replica, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
			memory = max(memory, replica.Memory)
		}
		total += memory
	}
	for _, replica := range view.State.Replicas {
		if replica.Phase != upstream.Failed && !hasEntry(entries, replica) {
			total += replica.Memory
		}
	}
	return total + tracker.openBudgetMemory(name, now)
}

func (tracker *Tracker) isCharged(entry *Entry, now time.Time) bool {
	if entry.Intent.Verb != upstream.Load {
		return false
	}
	status := tracker.Status(entry, now)
	return status == Open || status == Present
}

// isDuplicate reports whether an earlier charged entry is for the same replica.
func (tracker *Tracker) isDuplicate(earlier []*Entry, entry *Entry, now time.Time) bool {
	for _, other := range earlier {
		if other.Key() == entry.Key() && tracker.isCharged(other, now) {
			return true
		}
	}
	return false
}

// largestMemory returns the largest memory in bytes among the charged entries for the same replica.
func (tracker *Tracker) largestMemory(entries []*Entry, entry *Entry, now time.Time) int64 {
	memory := entry.Intent.Memory
	for _, other := range entries {
		if other.Key() == entry.Key() && tracker.isCharged(other, now) {
			memory = max(memory, other.Intent.Memory)
		}
	}
	return memory
}

func hasEntry(entries []*Entry, replica upstream.Replica) bool {
	for _, entry := range entries {
		load := entry.Intent.Verb == upstream.Load
		if load && entry.Intent.Model == replica.Model && entry.Intent.Version == replica.Version {
			return true
		}
	}
	return false
}

// openBudgetMemory returns the memory in bytes that former holders may still use on an upstream beyond
// what is charged for entries. It is negative if a former holder has used the memory of its own open
// rows for replicas without a row, since those rows are charged in full.
func (tracker *Tracker) openBudgetMemory(name string, now time.Time) int64 {
	var total int64
	view := tracker.views[name]
	for _, budget := range tracker.budgets {
		memory := budget.Memory(name)
		if tracker.isBudgetClosed(budget, name, now) {
			continue
		}
		var used, rows int64
		for _, entry := range tracker.byUpstream[name] {
			if entry.Intent.Budget == budget.Fence && tracker.isCharged(entry, now) {
				used += entry.Intent.Memory
			}
			if entry.Intent.Sender == budget.Sender && tracker.isOpenLoad(entry, now) && view.FencesReliably() {
				rows += entry.Intent.Memory
			}
		}
		total += max(-rows, memory-used)
	}
	return total
}

func (tracker *Tracker) isOpenLoad(entry *Entry, now time.Time) bool {
	return entry.Intent.Verb == upstream.Load && tracker.Status(entry, now) == Open
}

// OpenLoads returns the number of loads from the weight store that former holders may still
// start within their budgets.
func (tracker *Tracker) OpenLoads(now time.Time) int {
	total := 0
	for _, budget := range tracker.budgets {
		for _, share := range budget.Shares {
			if !tracker.isBudgetClosed(budget, share.Upstream, now) {
				total += budget.Loads
				break
			}
		}
	}
	return total
}

// isBudgetClosed reports whether the view already shows every effect that decisions of the former holder can have
// on the upstream: the engine rejects its orders, or all of them expired before the view was taken.
func (tracker *Tracker) isBudgetClosed(budget *trackedBudget, name string, now time.Time) bool {
	view, known := tracker.views[name]
	if !known {
		return false
	}
	if share, _ := budget.Share(name); view.AsOf.After(budget.since) {
		if view.rejectsFence(budget.Fence) || share.BootID != "" && view.rejectsBoot(share.BootID) {
			return true
		}
	}
	return tracker.holderOrdersExpired(budget, now) && view.AsOf.After(budget.senderEnded.Add(tracker.orderLifetime))
}

func (tracker *Tracker) holderOrdersExpired(budget *trackedBudget, now time.Time) bool {
	return !budget.senderEnded.IsZero() && now.After(budget.senderEnded.Add(tracker.orderLifetime))
}

// TrimBudgets returns the budgets whose holder has ended and that have closed shares or no shares, each reduced to
// the shares that are still open. A budget without remaining shares may be removed.
func (tracker *Tracker) TrimBudgets(now time.Time) []Budget {
	var trimmed []Budget
	for _, budget := range tracker.budgets {
		if !tracker.holderOrdersExpired(budget, now) {
			continue
		}
		remaining := budget.Budget
		remaining.Shares = nil
		for _, share := range budget.Shares {
			if !tracker.isBudgetClosed(budget, share.Upstream, now) {
				remaining.Shares = append(remaining.Shares, share)
			}
		}
		if len(remaining.Shares) < len(budget.Shares) || len(remaining.Shares) == 0 {
			trimmed = append(trimmed, remaining)
		}
	}
	return trimmed
}

// RemoveBudget removes the budget of the former holder with the fencing number.
func (tracker *Tracker) RemoveBudget(fence uint64) {
	for i, budget := range tracker.budgets {
		if budget.Fence == fence {
			tracker.budgets = append(tracker.budgets[:i], tracker.budgets[i+1:]...)
			return
		}
	}
}

// PermittingFence returns the highest fencing number of a former holder whose budget permits the
// replica on the upstream, or zero if there is none. Open budgets take precedence over closed ones.
func (tracker *Tracker) PermittingFence(model string, memory int64, name string, now time.Time) uint64 {
	var open, closed uint64
	for _, budget := range tracker.budgets {
		assigned, ok := budget.Upstream(model, memory)
		if !ok || assigned != name {
			continue
		}
		if tracker.isBudgetClosed(budget, name, now) {
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

// PermittedUpstreams returns the upstreams on which former holders may still load a replica of
// the model without a row, if the model may have at most maxReplicas replicas.
func (tracker *Tracker) PermittedUpstreams(model string, memory int64, maxReplicas int, now time.Time) []string {
	var names []string
	for _, budget := range tracker.budgets {
		if tracker.CountRows(model, budget.Sender) >= maxReplicas {
			continue
		}
		name, ok := budget.Upstream(model, memory)
		if ok && !tracker.isBudgetClosed(budget, name, now) {
			names = append(names, name)
		}
	}
	return names
}

// CountRows returns the number of rows of a sender for a model whose orders an engine may still accept.
func (tracker *Tracker) CountRows(model string, sender Sender) int {
	count := 0
	for _, entry := range tracker.entries {
		if entry.Recorded && entry.Intent.Sender == sender && entry.Intent.Model == model && !tracker.IsVoid(entry) {
			count++
		}
	}
	return count
}

// IsVoid reports whether the intent is not a load, or its engine accepts no more orders for its boot and does not
// show the replica.
func (tracker *Tracker) IsVoid(entry *Entry) bool {
	if entry.Intent.Verb != upstream.Load {
		return true
	}
	view := tracker.views[entry.Intent.Upstream]
	if _, shown := view.Replica(entry.Intent.Model, entry.Intent.Version); shown {
		return false
	}
	return view.AsOf.After(entry.since) && view.rejectsBoot(entry.Intent.BootID)
}
