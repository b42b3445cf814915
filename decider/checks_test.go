package decider

import (
	"context"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/internal/enginefake"
	"github.com/bronzestall/bronzestall/upstream"
)

// checkLoad fails the test if an engine begins a load that is neither in a row nor within a
// budget.
func (cluster *cluster) checkLoad(name, model, version string) {
	log := intent.NewStore(cluster.platform.Client(), "fukuoka")
	rows, err := log.Intents(context.Background())
	if err != nil {
		// While the table service is down the rows cannot be read; checkState checks the number
		// of replicas.
		return
	}
	for _, row := range rows {
		if row.Verb == upstream.Load && row.Upstream == name && row.Model == model && row.Version == version {
			return
		}
	}
	budgets, _ := log.Budgets(context.Background())
	for _, budget := range budgets {
		if assigned, ok := budget.Upstream(model, cluster.models[model].Memory()); ok && assigned == name {
			return
		}
	}
	cluster.t.Errorf("%s began to load %s@%s without a row or budget", name, model, version)
}

// kill ends a process without a grace period.
func (cluster *cluster) kill(process *process) {
	for i, other := range cluster.processes {
		if other == process {
			cluster.processes = append(cluster.processes[:i], cluster.processes[i+1:]...)
			return
		}
	}
}

// removeVM takes the VM of a process out of the VM list.
func (cluster *cluster) removeVM(name string) {
	for i, vm := range cluster.vms {
		if vm.Name == name {
			cluster.vms = append(cluster.vms[:i], cluster.vms[i+1:]...)
			break
		}
	}
	cluster.platform.SetVMs(cluster.vms...)
}

// requestUntilReady repeats the demand for a model step by step, and reports whether a replica
// became ready.
func (cluster *cluster) requestUntilReady(model string, steps int) bool {
	cluster.t.Helper()
	for range steps {
		cluster.reportDemand(model, 2, 5)
		cluster.advance(step)
		if cluster.ready(model) {
			return true
		}
	}
	return false
}

func (cluster *cluster) ready(model string) bool {
	for _, engine := range cluster.engines {
		state, err := engine.State(context.Background())
		if err != nil {
			continue
		}
		for _, replica := range state.Replicas {
			if replica.Model == model && replica.Phase == upstream.Ready {
				return true
			}
		}
	}
	return false
}

// countReady returns the number of models with a ready replica.
func (cluster *cluster) countReady() int {
	count := 0
	for name := range cluster.models {
		if cluster.ready(name) {
			count++
		}
	}
	return count
}

// checkRecords compares the budget and rows that the owner of the lease assumes to be recorded
// with the table service.
func (cluster *cluster) checkRecords(process *process) {
	cluster.t.Helper()
	term := process.decider.term
	fence, owned := process.lease.Owned()
	if term == nil || !owned || fence != term.fence || term.commitRefused || term.pending != nil {
		return
	}
	log := intent.NewStore(cluster.platform.Client(), "fukuoka")
	budgets, err := log.Budgets(context.Background())
	if err != nil {
		return
	}
	for _, budget := range budgets {
		if budget.Fence > term.fence {
			return
		}
		if budget.Fence == term.fence && !budget.Equal(term.budget) {
			cluster.t.Fatalf("the recorded budget is %+v, the owner assumes %+v", budget, term.budget)
		}
	}
	rows, _ := log.Intents(context.Background())
	for _, row := range rows {
		if row.Fence > term.fence {
			return
		}
	}
	for _, row := range rows {
		if entry := term.tracker.Entry(row.ID); entry == nil || !entry.Recorded {
			cluster.t.Fatalf("the owner has no entry for the row %+v", row)
		}
	}
}

// clearFaults drops the faults that no order has met.
func (cluster *cluster) clearFaults() {
	for _, engine := range cluster.engines {
		engine.ClearFaults()
	}
}

// failOrders sets the faults of the next orders on every engine.
func (cluster *cluster) failOrders(faults ...enginefake.Fault) {
	for _, engine := range cluster.engines {
		engine.FailOrders(faults...)
	}
}

// deliverLate delivers the late orders and returns their number.
func (cluster *cluster) deliverLate() int {
	cluster.t.Helper()
	count := 0
	for _, engine := range cluster.engines {
		count += engine.DeliverLate()
	}
	cluster.checkState()
	return count
}
