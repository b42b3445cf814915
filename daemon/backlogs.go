package daemon

import (
	"cmp"
	"slices"
	"sync"

	"github.com/bronzestall/bronzestall/dispatch"
	"github.com/bronzestall/bronzestall/peer"
)

// backlogs tells the dispatcher what the other daemons of the data centre run.
type backlogs struct {
	lock sync.RWMutex
	// daemons is the number of live daemons of the data centre, at least one.
	daemons int
	wanted  map[string]int
	running map[modelTenant]int
}

type modelTenant struct{ model, tenant string }

func newBacklogs() *backlogs {
	return &backlogs{daemons: 1}
}

// Daemons returns the number of live daemons of the data centre.
func (backlogs *backlogs) Daemons() int {
	backlogs.lock.RLock()
	defer backlogs.lock.RUnlock()
	return backlogs.daemons
}

// Outstanding returns the number of requests for the model on the other daemons.
func (backlogs *backlogs) Outstanding(model string) int {
	backlogs.lock.RLock()
	defer backlogs.lock.RUnlock()
	return backlogs.wanted[model]
}

// Running returns the number of requests of the tenant for the model on the other daemons.
func (backlogs *backlogs) Running(model, tenant string) int {
	backlogs.lock.RLock()
	defer backlogs.lock.RUnlock()
	return backlogs.running[modelTenant{model, tenant}]
}

// set replaces what is known by the records of the other live daemons of the data centre.
func (backlogs *backlogs) set(records []peer.Record) {
	wanted := map[string]int{}
	running := map[modelTenant]int{}
	for _, record := range records {
		for _, backlog := range record.Backlogs {
			wanted[backlog.Model] += backlog.Running + backlog.Waiting
			running[modelTenant{backlog.Model, backlog.Tenant}] += backlog.Running
		}
	}
	backlogs.lock.Lock()
	defer backlogs.lock.Unlock()
	backlogs.daemons = len(records) + 1
	backlogs.wanted = wanted
	backlogs.running = running
}

// toBacklogs returns the loads of this daemon in the order of models and tenants.
func toBacklogs(loads []dispatch.TenantLoad) []peer.Backlog {
	told := make([]peer.Backlog, 0, len(loads))
	for _, load := range loads {
		if load.Running+load.Waiting == 0 {
			continue
		}
		told = append(told, peer.Backlog{Model: load.Model, Tenant: load.Tenant, Running: load.Running, Waiting: load.Waiting})
	}
	slices.SortFunc(told, func(a, b peer.Backlog) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Tenant, b.Tenant))
	})
	return told
}
