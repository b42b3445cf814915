package decider

import (
	"slices"
	"strings"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/permit"
	"github.com/bronzestall/bronzestall/placement"
	"github.com/bronzestall/bronzestall/upstream"
)

// nextBudget returns the budget that may be recorded together with new intents. For each
// upstream, its memory, the charge and the new loads are together at most the capacity.
func (reign *reign) nextBudget(opening []intent.Intent) intent.Budget {
	budget := intent.Budget{Fence: reign.fence, Sender: reign.sender}
	if reign.decider.settings.BudgetShare == 0 {
		return budget
	}
	for name := range reign.met {
		view, known := reign.book.View(name)
		if !known || view.State.Leaving {
			continue
		}
		share := intent.Share{Upstream: name, BootID: view.State.BootID, Rows: reign.ownRows(name)}
		free := view.State.Capacity - reign.book.ChargedMemory(name, reign.now)
		for _, row := range opening {
			if row.Upstream != name || row.Verb != upstream.Load {
				continue
			}
			share.Rows += row.Memory
			if reign.book.Entry(row.ID) == nil && !reign.isShown(row) {
				free -= row.Memory
			}
		}
		share.Memory = int64(reign.budgetShare(view) * float64(free))
		if !view.FencesReliably() {
			share.Rows = 0
		}
		if share.Memory+share.Rows > 0 {
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
	for _, entry := range reign.book.EntriesOn(name) {
		own := entry.Recorded && entry.Intent.Verb == upstream.Load && entry.Intent.Sender == reign.sender
		if own && reign.book.Status(entry, reign.now) != intent.Closed {
			total += entry.Intent.Memory
		}
	}
	return total
}

// budgetShare returns the share of free memory that goes into the budget. On engines that close
// the budget of a former holder at once it is all of it.
func (reign *reign) budgetShare(view intent.View) float64 {
	if view.FencesReliably() {
		return 1
	}
	return reign.decider.settings.BudgetShare
}

// budgetLeft returns the memory in bytes that may still be decided on an upstream without the
// table service: the recorded budget less the replicas without a row, and, where engines close
// older orders, own rows whose replicas are gone.
func (reign *reign) budgetLeft(name string) int64 {
	view, _ := reign.book.View(name)
	share, _ := reign.budget.Share(name)
	if view.ChecksBoot && share.BootID != view.State.BootID {
		return 0
	}
	left := share.Memory
	if reign.pending != nil && reign.pending.Budget != nil {
		left = min(left, reign.pending.Budget.Memory(name))
	}
	for _, entry := range reign.book.EntriesOn(name) {
		gone := reign.book.Status(entry, reign.now) == intent.Closed
		switch {
		case entry.Intent.Verb != upstream.Load:
		case !entry.Recorded && !gone && (view.FencesReliably() || !reign.isRecorded(entry.Key())):
			left -= entry.Intent.Memory
		case entry.Recorded && gone && view.FencesReliably() && entry.Intent.Sender == reign.sender && !reign.book.IsVoid(entry):
			left += entry.Intent.Memory
		}
	}
	return max(0, left)
}

// isRecorded reports whether a row of this reign stands for the replica.
func (reign *reign) isRecorded(key intent.ReplicaKey) bool {
	for _, entry := range reign.book.EntriesOn(key.Upstream) {
		own := entry.Recorded && entry.Intent.Sender == reign.sender
		if own && entry.Key() == key && !reign.book.IsVoid(entry) {
			return true
		}
	}
	return false
}

// reserved returns the memory in bytes of rows on an upstream whose replicas are gone. A
// successor charges them, so without the table service only the same replicas may use it.
func (reign *reign) reserved(name string) int64 {
	var total int64
	if view, _ := reign.book.View(name); view.FencesReliably() {
		return 0
	}
	for _, entry := range reign.book.EntriesOn(name) {
		gone := reign.book.Status(entry, reign.now) == intent.Closed
		if entry.Recorded && gone && !reign.book.IsVoid(entry) {
			total += entry.Intent.Memory
		}
	}
	return total
}

// assignedAway tells where a model may be loaded without the table service: again where it has a
// row of this reign, else where the budget names. A successor works out the same.
func (reign *reign) assignedAway(model catalogue.Model) placement.Assignment {
	most := max(1, model.MaxReplicas)
	name, ok := reign.budget.Upstream(model.Name, model.Memory())
	rows := 0
	for _, entry := range reign.book.Entries() {
		row := entry.Intent
		if row.Model != model.Name || !entry.Recorded || reign.book.IsVoid(entry) || reign.mayBeClosed(entry) {
			continue
		}
		gone := reign.book.Status(entry, reign.now) == intent.Closed
		if row.Sender == reign.sender {
			rows++
			if gone && row.Version == model.Version {
				view, _ := reign.book.View(row.Upstream)
				return placement.Assignment{Restricted: true, Upstream: row.Upstream, Covered: !view.FencesReliably()}
			}
			continue
		}
		ok = ok && (!gone || row.Upstream == name)
	}
	if !ok || rows >= most || !reign.agreesWithPending(model, name) {
		return placement.Assignment{Restricted: true}
	}
	return placement.Assignment{Restricted: true, Upstream: name}
}

// mayBeClosed reports whether a change without a known result closes the row and leaves no other in
// its place.
func (reign *reign) mayBeClosed(entry *intent.Entry) bool {
	if reign.pending == nil || !slices.Contains(reign.pending.RemovedIDs, entry.Intent.ID) {
		return false
	}
	return !slices.ContainsFunc(reign.pending.NewIntents, func(row intent.Intent) bool {
		return row.Verb == upstream.Load && row.Key() == entry.Key()
	})
}

// agreesWithPending reports whether a change without a known result names the same upstream for
// the model.
func (reign *reign) agreesWithPending(model catalogue.Model, name string) bool {
	if reign.pending == nil {
		return true
	}
	for _, row := range reign.pending.NewIntents {
		if row.Verb == upstream.Load && row.Model == model.Name && row.Upstream != name {
			return false
		}
	}
	if reign.pending.Budget == nil {
		return true
	}
	other, ok := reign.pending.Budget.Upstream(model.Name, model.Memory())
	return ok && other == name
}

// permitUse returns what the data centre does with its permits.
func (reign *reign) permitUse() permit.Usage {
	waiting := 0
	for _, need := range reign.needs {
		if need.Waiting > 0 && reign.countLoads(need.Model) == 0 {
			waiting++
		}
	}
	return permit.Usage{Busy: reign.busy(), Waiting: waiting}
}

// countLoads returns the number of replicas of the model that are decided.
func (reign *reign) countLoads(model string) int {
	count := 0
	for _, entry := range reign.book.Entries() {
		status := reign.book.Status(entry, reign.now)
		counted := status == intent.Open || status == intent.Present
		if counted && entry.Intent.Verb == upstream.Load && entry.Intent.Model == model {
			count++
		}
	}
	return count
}
