package decider

import (
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/permit"
	"github.com/bronzestall/bronzestall/upstream"
)

// nextBudget returns the budget that may be recorded together with new intents. For each
// upstream, its memory, the charge and the new loads are together at most the capacity.
func (reign *reign) nextBudget(opening []intent.Intent) intent.Budget {
	budget := intent.Budget{Fence: reign.fence, Sender: reign.sender}
	for name := range reign.met {
		view, known := reign.book.View(name)
		if !known || view.State.Leaving {
			continue
		}
		share := intent.Share{Upstream: name, Evictable: reign.ownRows(name)}
		free := view.State.Capacity - reign.book.Charge(name, reign.now)
		for _, row := range opening {
			if row.Upstream != name || row.Verb != upstream.Load {
				continue
			}
			share.Evictable += row.Memory
			if reign.book.Entry(row.ID) == nil {
				free -= row.Memory
			}
		}
		share.Memory = max(0, int64(reign.decider.settings.BudgetShare*float64(free)))
		if reign.decider.settings.BudgetShare > 0 && share.Memory+share.Evictable > 0 {
			budget.Shares = append(budget.Shares, share)
		}
	}
	slices.SortFunc(budget.Shares, func(a, b intent.Share) int { return strings.Compare(a.Upstream, b.Upstream) })
	if len(budget.Shares) > 0 {
		budget.Loads = min(reign.decider.division.Floor(), reign.decider.division.Slots())
	}
	return budget
}

// ownRows returns the memory in bytes of the recorded loads of this reign on an upstream.
func (reign *reign) ownRows(name string) int64 {
	var total int64
	for _, entry := range reign.book.On(name) {
		if entry.Recorded && entry.Intent.Verb == upstream.Load && entry.Intent.Sender == reign.sender &&
			reign.book.Status(entry, reign.now) != intent.Gone {
			total += entry.Intent.Memory
		}
	}
	return total
}

// budgetLeft returns the memory in bytes that may still be decided on an upstream without the
// table service: the recorded budget and own recorded rows whose memory is free again, less
// the replicas without a row.
func (reign *reign) budgetLeft(name string) int64 {
	left := reign.budget.Memory(name)
	if reign.pending != nil && reign.pending.Budget != nil {
		left = min(left, reign.pending.Budget.Memory(name))
	}
	for _, entry := range reign.book.On(name) {
		if entry.Intent.Verb != upstream.Load || entry.Intent.Sender != reign.sender {
			continue
		}
		gone := reign.book.Status(entry, reign.now) == intent.Gone
		switch {
		case entry.Recorded && gone:
			left += entry.Intent.Memory
		case !entry.Recorded && !gone:
			left -= entry.Intent.Memory
		}
	}
	return max(0, left)
}

// budgetUpstream returns the upstream that the recorded budget names for a model. While a
// change of the budget has no known result, both must name the same.
func (reign *reign) budgetUpstream(model string, memory int64) (string, bool) {
	name, ok := reign.budget.Upstream(model, memory)
	if !ok || reign.pending == nil || reign.pending.Budget == nil {
		return name, ok
	}
	other, ok := reign.pending.Budget.Upstream(model, memory)
	return name, ok && other == name
}

// permitUse returns what the data centre does with its permits.
func (reign *reign) permitUse() permit.Use {
	waiting := 0
	for _, need := range reign.needs {
		if need.Waiting > 0 && reign.countLoads(need.Model) == 0 {
			waiting++
		}
	}
	return permit.Use{Busy: reign.busy(), Waiting: waiting}
}

// countLoads returns the number of replicas of the model that are decided.
func (reign *reign) countLoads(model string) int {
	count := 0
	for _, entry := range reign.book.Entries() {
		status := reign.book.Status(entry, reign.now)
		counted := status == intent.Open || status == intent.Shown
		if counted && entry.Intent.Verb == upstream.Load && entry.Intent.Model == model {
			count++
		}
	}
	return count
}
