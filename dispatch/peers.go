package dispatch

// TenantLoad is what one tenant runs and waits for in one model on one daemon.
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

// Peers tells what the other daemons of the data centre run. Its methods do not block and may lag.
type Peers interface {
	// Daemons returns the number of live daemons of the data centre, this one included; at least one.
	Daemons() int
	// Outstanding returns the number of requests for the model that run or wait on the other daemons.
	Outstanding(model string) int
	// Running returns the number of requests of the tenant for the model on the other daemons.
	Running(model, tenant string) int
}

// alone is a daemon without others.
type alone struct{}

// Daemons returns one.
func (alone) Daemons() int { return 1 }

// Outstanding returns zero.
func (alone) Outstanding(string) int { return 0 }

// Running returns zero.
func (alone) Running(string, string) int { return 0 }

// TenantLoads returns what the daemon runs and holds, for the exchange with the other daemons.
func (dispatcher *Dispatcher) TenantLoads() []TenantLoad {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	var loads []TenantLoad
	for _, lane := range dispatcher.lanes {
		if lane.target.Model == "" {
			continue
		}
		for tenant, running := range lane.tenants {
			loads = append(loads, TenantLoad{Model: lane.target.Model, Tenant: tenant, Running: running, Waiting: lane.queue.Of(tenant)})
		}
	}
	return loads
}
