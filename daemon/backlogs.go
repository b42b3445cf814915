package daemon

import (
	"cmp"
	"slices"
	"sync"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/peer"
)

// backlogs holds the load of the other daemons of the data centre for the dispatcher.
type backlogs struct {
	lock sync.RWMutex
	// daemons is the number of live daemons of the data centre, with this one.
	daemons int
	// requests counts the running and waiting requests of each model on the other daemons.
	requests map[string]int
	// running counts the running requests of each model and tenant on the other daemons.
	running map[modelTenant]int
}

type modelTenant struct{ model, tenant string }

func newBacklogs() *backlogs {
	return &backlogs{daemons: 1}
}

// Daemons returns the number of live daemons of the data centre, at least one.
func (backlogs *backlogs) Daemons() int {
	backlogs.lock.RLock()
	defer backlogs.lock.RUnlock()
	return backlogs.daemons
}

// Outstanding returns the number of running and waiting requests for the model on the other daemons.
func (backlogs *backlogs) Outstanding(model string) int {
	backlogs.lock.RLock()
	defer backlogs.lock.RUnlock()
	return backlogs.requests[model]
}

// Running returns the number of running requests of the tenant for the model on the other daemons.
func (backlogs *backlogs) Running(model, tenant string) int {
	backlogs.lock.RLock()
	defer backlogs.lock.RUnlock()
	return backlogs.running[modelTenant{model, tenant}]
}

// set replaces the counts by those in the records of the other live daemons of the data centre.
func (backlogs *backlogs) set(records []peer.Record) {
	requests := map[string]int{}
	running := map[modelTenant]int{}
	for _, record := range records {
		for _, backlog := range record.Backlogs {
			requests[backlog.Model] += backlog.Running + backlog.Waiting
			running[modelTenant{backlog.Model, backlog.Tenant}] += backlog.Running
		}
	}
	backlogs.lock.Lock()
	defer backlogs.lock.Unlock()
	backlogs.daemons = len(records) + 1
	backlogs.requests = requests
	backlogs.running = running
}

// toBacklogs returns the loads that are not zero, ordered by model and tenant.
func toBacklogs(loads []dispatch.TenantLoad) []peer.Backlog {
	result := make([]peer.Backlog, 0, len(loads))
	for _, load := range loads {
		if load.Running+load.Waiting == 0 {
			continue
		}
		result = append(result, peer.Backlog{Model: load.Model, Tenant: load.Tenant, Running: load.Running, Waiting: load.Waiting})
	}
	slices.SortFunc(result, func(a, b peer.Backlog) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Tenant, b.Tenant))
	})
	return result
}
