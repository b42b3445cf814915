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

// nextBudget returns the budget to record together with the new intents. On each upstream, the
// budget, the charge and the new loads are together at most the capacity.
func (term *term) nextBudget(newIntents []intent.Intent) intent.Budget {
	budget := intent.Budget{Fence: term.fence, Sender: term.sender}
	if term.decider.settings.BudgetShare == 0 {
		return budget
	}
	for name := range term.seen {
		view, known := term.tracker.View(name)
		if !known || view.State.Leaving {
			continue
		}
		share := intent.Share{Upstream: name, BootID: view.State.BootID, Rows: term.ownRecordedMemory(name)}
		free := view.State.Capacity - term.tracker.ChargedMemory(name, term.now)
		for _, row := range newIntents {
			if row.Upstream != name || row.Verb != upstream.Load {
				continue
			}
			share.Rows += row.Memory
			if term.tracker.Entry(row.ID) == nil && !term.isShown(row) {
				free -= row.Memory
			}
		}
		share.Memory = int64(term.budgetShare(view) * float64(free))
		if !view.FencesReliably() {
			share.Rows = 0
		}
		if share.Memory+share.Rows > 0 {
			budget.Shares = append(budget.Shares, share)
		}
	}
	slices.SortFunc(budget.Shares, func(a, b intent.Share) int { return strings.Compare(a.Upstream, b.Upstream) })
	if len(budget.Shares) > 0 {
		budget.Loads = min(term.decider.quota.Floor(), term.decider.quota.Slots())
	}
	return budget
}

// ownRecordedMemory returns the memory in bytes of the recorded loads of this term on an
// upstream.
func (term *term) ownRecordedMemory(name string) int64 {
	var total int64
	for _, entry := range term.tracker.EntriesOn(name) {
		own := entry.Recorded && entry.Intent.Verb == upstream.Load && entry.Intent.Sender == term.sender
		if own && term.tracker.Status(entry, term.now) != intent.Closed {
			total += entry.Intent.Memory
		}
	}
	return total
}

// budgetShare returns the share of the free memory that goes into the budget. It is 1 on engines
// that reliably reject orders with older fencing numbers, since there the budget of a former
// holder ends with the first order of its successor.
func (term *term) budgetShare(view intent.View) float64 {
	if view.FencesReliably() {
		return 1
	}
	return term.decider.settings.BudgetShare
}

// remainingBudget returns the memory in bytes that may still be decided on an upstream during an
// outage: the recorded budget less the replicas without a row, plus, where engines reliably
// reject orders with older fencing numbers, the memory of own rows whose entries are closed. A
// budget in an unresolved commit limits it, too.
func (term *term) remainingBudget(name string) int64 {
	view, _ := term.tracker.View(name)
	share, _ := term.budget.Share(name)
	if view.ChecksBoot && share.BootID != view.State.BootID {
		return 0
	}
	left := share.Memory
	if term.pending != nil && term.pending.Budget != nil {
		left = min(left, term.pending.Budget.Memory(name))
	}
	for _, entry := range term.tracker.EntriesOn(name) {
		closed := term.tracker.Status(entry, term.now) == intent.Closed
		switch {
		case entry.Intent.Verb != upstream.Load:
		case !entry.Recorded && !closed && (view.FencesReliably() || !term.isRecorded(entry.Key())):
			left -= entry.Intent.Memory
		case entry.Recorded && closed && view.FencesReliably() && entry.Intent.Sender == term.sender && !term.tracker.IsVoid(entry):
			left += entry.Intent.Memory
		}
	}
	return max(0, left)
}

// isRecorded reports whether a row of this term represents the replica.
func (term *term) isRecorded(key intent.ReplicaKey) bool {
	for _, entry := range term.tracker.EntriesOn(key.Upstream) {
		own := entry.Recorded && entry.Intent.Sender == term.sender
		if own && entry.Key() == key && !term.tracker.IsVoid(entry) {
			return true
		}
	}
	return false
}

// reservedMemory returns the memory in bytes of the rows on an upstream whose entries are closed.
// A successor charges these rows, so during an outage only the same replicas may use the memory.
// It is zero on engines that reliably reject orders with older fencing numbers.
func (term *term) reservedMemory(name string) int64 {
	var total int64
	if view, _ := term.tracker.View(name); view.FencesReliably() {
		return 0
	}
	for _, entry := range term.tracker.EntriesOn(name) {
		closed := term.tracker.Status(entry, term.now) == intent.Closed
		if entry.Recorded && closed && !term.tracker.IsVoid(entry) {
			total += entry.Intent.Memory
		}
	}
	return total
}

// assignmentInOutage returns where a model may be loaded during an outage: again on the upstream
// of a row of this term, otherwise on the upstream that the budget assigns. A successor computes
// the same assignment from the recorded rows and the budget.
func (term *term) assignmentInOutage(model catalogue.Model) placement.Assignment {
	limit := max(1, model.MaxReplicas)
	name, ok := term.budget.Upstream(model.Name, model.Memory())
	rows := 0
	for _, entry := range term.tracker.Entries() {
		row := entry.Intent
		if row.Model != model.Name || !entry.Recorded || term.tracker.IsVoid(entry) || term.mayBeRemoved(entry) {
			continue
		}
		closed := term.tracker.Status(entry, term.now) == intent.Closed
		if row.Sender == term.sender {
			rows++
			if closed && row.Version == model.Version {
				view, _ := term.tracker.View(row.Upstream)
				return placement.Assignment{Restricted: true, Upstream: row.Upstream, MemoryCharged: !view.FencesReliably()}
			}
			continue
		}
		ok = ok && (!closed || row.Upstream == name)
	}
	if !ok || rows >= limit || !term.agreesWithPending(model, name) {
		return placement.Assignment{Restricted: true}
	}
	return placement.Assignment{Restricted: true, Upstream: name}
}

// mayBeRemoved reports whether the unresolved change removes the row without adding another row
// for the same replica.
func (term *term) mayBeRemoved(entry *intent.Entry) bool {
	if term.pending == nil || !slices.Contains(term.pending.RemovedIDs, entry.Intent.ID) {
		return false
	}
	return !slices.ContainsFunc(term.pending.NewIntents, func(row intent.Intent) bool {
		return row.Verb == upstream.Load && row.Key() == entry.Key()
	})
}

// agreesWithPending reports whether the unresolved change, if there is one, assigns the model to
// the same upstream.
func (term *term) agreesWithPending(model catalogue.Model, name string) bool {
	if term.pending == nil {
		return true
	}
	for _, row := range term.pending.NewIntents {
		if row.Verb == upstream.Load && row.Model == model.Name && row.Upstream != name {
			return false
		}
	}
	if term.pending.Budget == nil {
		return true
	}
	other, ok := term.pending.Budget.Upstream(model.Name, model.Memory())
	return ok && other == name
}

// permitUsage returns how many load permits the data centre uses and how many more it could use.
func (term *term) permitUsage() permit.Usage {
	waiting := 0
	for _, demand := range term.totalDemands {
		if demand.Waiting > 0 && term.countDecided(demand.Model) == 0 {
			waiting++
		}
	}
	return permit.Usage{Busy: term.busy(), Waiting: waiting}
}

// countDecided returns the number of replicas of the model that are decided or shown by an
// engine.
func (term *term) countDecided(model string) int {
	count := 0
	for _, entry := range term.tracker.Entries() {
		status := term.tracker.Status(entry, term.now)
		counted := status == intent.Open || status == intent.Present
		if counted && entry.Intent.Verb == upstream.Load && entry.Intent.Model == model {
			count++
		}
	}
	return count
}
