package decider

import (
	"context"

	"github.com/bronzestall/bronzestall/intent"
	"github.com/bronzestall/bronzestall/internal/enginefake"
	"github.com/bronzestall/bronzestall/upstream"
)

// judgeLoad fails the test if an engine begins a load that is neither in a row nor within a budget.
func (world *world) judgeLoad(name, model, version string) {
	log := intent.NewStore(world.platform.Client(), "fukuoka")
	rows, err := log.Intents(context.Background())
	if err != nil {
		// While the table service is down the rows cannot be judged; judge does it by counts.
		return
	}
	for _, row := range rows {
		if row.Verb == upstream.Load && row.Upstream == name && row.Model == model && row.Version == version {
			return
		}
	}
	budgets, _ := log.Budgets(context.Background())
	for _, budget := range budgets {
		if assigned, ok := budget.Upstream(model, world.models[model].Memory()); ok && assigned == name {
			return
		}
	}
	world.t.Errorf("%s began to load %s@%s without a row or budget", name, model, version)
}

// kill ends a process without any grace.
func (world *world) kill(process *process) {
	for i, other := range world.processes {
		if other == process {
			world.processes = append(world.processes[:i], world.processes[i+1:]...)
			return
		}
	}
}

// removeVM takes the VM of a process out of the VM list.
func (world *world) removeVM(name string) {
	for i, vm := range world.vms {
		if vm.Name == name {
			world.vms = append(world.vms[:i], world.vms[i+1:]...)
			break
		}
	}
	world.platform.SetVMs(world.vms...)
}

// askFor repeats the demand for a model while time passes, and reports whether a replica became ready.
func (world *world) askFor(model string, steps int) bool {
	world.t.Helper()
	for range steps {
		world.ask(model, 2, 5)
		world.advance(step)
		if world.ready(model) {
			return true
		}
	}
	return false
}

func (world *world) ready(model string) bool {
	for _, engine := range world.engines {
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
func (world *world) countReady() int {
	count := 0
	for name := range world.models {
		if world.ready(name) {
			count++
		}
	}
	return count
}

// audit compares what the owner of the lease believes to be recorded with the table service.
func (world *world) audit(process *process) {
	world.t.Helper()
	reign := process.decider.reign
	fence, owned := process.lease.Owned()
	if reign == nil || !owned || fence != reign.fence || reign.deposed || reign.pending != nil {
		return
	}
	log := intent.NewStore(world.platform.Client(), "fukuoka")
	budgets, err := log.Budgets(context.Background())
	if err != nil {
		return
	}
	for _, budget := range budgets {
		if budget.Fence > reign.fence {
			return
		}
		if budget.Fence == reign.fence && !budget.Equal(reign.budget) {
			world.t.Fatalf("the recorded budget is %+v, the owner believes %+v", budget, reign.budget)
		}
	}
	rows, _ := log.Intents(context.Background())
	for _, row := range rows {
		if row.Fence > reign.fence {
			return
		}
	}
	for _, row := range rows {
		if entry := reign.book.Entry(row.ID); entry == nil || !entry.Recorded {
			world.t.Fatalf("the owner does not know of the row %+v", row)
		}
	}
}

// clear drops the faults that no order has met.
func (world *world) clear() {
	for _, engine := range world.engines {
		engine.ClearFaults()
	}
}

// fail sets the fault of the next order on every engine.
func (world *world) fail(faults ...enginefake.Fault) {
	for _, engine := range world.engines {
		engine.FailOrders(faults...)
	}
}

// deliver lets the orders that are late arrive.
func (world *world) deliver() int {
	world.t.Helper()
	count := 0
	for _, engine := range world.engines {
		count += engine.Deliver()
	}
	world.judge()
	return count
}
