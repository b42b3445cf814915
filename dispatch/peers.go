package dispatch

// TenantLoad is the number of requests of one tenant for one model on one daemon.
type TenantLoad struct {
	// Model is the name of the model.
	Model string `json:"Model"`
	// Tenant is the name of the tenant.
	Tenant string `json:"Tenant"`
	// Running is the number of requests on upstreams.
	Running int `json:"Running"`
	// Waiting is the number of requests in the queue.
	Waiting int `json:"Waiting"`
}

// Peers returns the load of the other daemons of the data centre. Its methods do not block and may return
// outdated values.
type Peers interface {
	// Daemons returns the number of live daemons of the data centre, this one included; at least one.
	Daemons() int
	// Outstanding returns the number of requests for the model that run or wait on the other daemons.
	Outstanding(model string) int
	// Running returns the number of requests of the tenant for the model that run on the other daemons.
	Running(model, tenant string) int
}

// noPeers implements Peers for a single daemon.
type noPeers struct{}

// Daemons returns one.
func (noPeers) Daemons() int { return 1 }

// Outstanding returns zero.
func (noPeers) Outstanding(string) int { return 0 }

// Running returns zero.
func (noPeers) Running(string, string) int { return 0 }

// TenantLoads returns the running and waiting requests of this daemon, to be sent to the other daemons.
func (dispatcher *Dispatcher) TenantLoads() []TenantLoad {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var loads []TenantLoad
	for _, workload := range dispatcher.workloads {
		if workload.target.Model == "" {
			continue
		}
		for tenant, running := range workload.runningByTenant {
			loads = append(loads, TenantLoad{Model: workload.target.Model, Tenant: tenant, Running: running, Waiting: workload.queue.TenantLen(tenant)})
		}
	}
	return loads
}
