package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/catalogue"
	"github.com/bronzestall/bronzestall/queue"
	"github.com/bronzestall/bronzestall/request"
)

// workload holds the waiting and running requests of one model or service. The mutex of the dispatcher guards
// it.
type workload struct {
	// target names the model; it is empty for a service.
	target catalogue.Target
	// lookup returns the current candidates.
	lookup func() (Snapshot, error)
	// queue holds the first attempts in fair order.
	queue *queue.Queue[*waiter]
	// unordered holds suspects and retries, which bypass the fair order.
	unordered *queue.Queue[*waiter]
	// estimator estimates waiting times from the measured service times.
	estimator queue.Estimator
	// running is the number of granted reservations. runningByTenant is its part by tenant; tenants with zero
	// are deleted.
	running         int
	runningByTenant map[string]int
	// peaks holds the peaks of the recently active tenants.
	peaks map[string]peak
	// shares is the sum of the shares of the tenants in peaks.
	shares int
	// suspects is the number of granted reservations of suspects.
	suspects int
	// monitored states that a goroutine monitors the waiting requests.
	monitored bool
	// emptied is closed when monitored becomes false.
	emptied chan struct{}
	// used is the time of the last change.
	used time.Time
}

// workloadKey returns the key of the workload of the request.
func workloadKey(req *request.Request) string {
	if req.API == request.ServiceCall {
		return "service/" + req.Service
	}
	return "model/" + req.Target.Model
}

// workload returns the workload of the request and creates it if it does not exist. The mutex must be held.
func (dispatcher *Dispatcher) workload(req *request.Request) *workload {
	name := workloadKey(req)
	found, ok := dispatcher.workloads[name]
	if !ok {
		found = dispatcher.newWorkload(req)
		dispatcher.workloads[name] = found
	}
	found.used = dispatcher.clock.Now()
	return found
}

// newWorkload returns an empty workload for the model or service of the request.
func (dispatcher *Dispatcher) newWorkload(req *request.Request) *workload {
	created := &workload{
		runningByTenant: map[string]int{},
		peaks:           map[string]peak{},
		queue:           queue.New[*waiter](dispatcher.settings.PerModel),
		unordered:       queue.New[*waiter](dispatcher.settings.PerModel),
	}
	if req.API == request.ServiceCall {
		service := req.Service
		created.lookup = func() (Snapshot, error) { return dispatcher.deps.Fleet.Service(service) }
		return created
	}
	created.target = catalogue.Target{Model: req.Target.Model}
	created.lookup = func() (Snapshot, error) { return dispatcher.deps.Fleet.Replicas(created.target) }
	return created
}

// queueOf returns the queue of the workload in which the request waits.
func (workload *workload) queueOf(waiting *entry) *queue.Queue[*waiter] {
	if waiting.Item.unordered {
		return workload.unordered
	}
	return workload.queue
}

// waiting returns the number of waiting requests.
func (workload *workload) waiting() int {
	return workload.queue.Len() + workload.unordered.Len()
}

// enterQueue counts a request that was queued. The mutex must be held.
func (dispatcher *Dispatcher) enterQueue(waiting *entry) {
	dispatcher.waiting++
	dispatcher.waitingByTenant[waiting.Tenant]++
}

// leaveQueue counts a request that was removed from its queue. The mutex must be held.
func (dispatcher *Dispatcher) leaveQueue(workload *workload, removed *entry) {
	dispatcher.waiting--
	dispatcher.waitingByTenant[removed.Tenant]--
	if dispatcher.waitingByTenant[removed.Tenant] == 0 {
		delete(dispatcher.waitingByTenant, removed.Tenant)
	}
	dispatcher.recordDemand(workload, removed.Tenant)
	if workload.monitored && workload.waiting() == 0 {
		workload.monitored = false
		close(workload.emptied)
	}
}

// countEnded counts a running request of the tenant that ended.
func (workload *workload) countEnded(tenant string) {
	workload.runningByTenant[tenant]--
	if workload.runningByTenant[tenant] == 0 {
		delete(workload.runningByTenant, tenant)
	}
}

// startDelay estimates the time until the response begins to a request that leaves the queue after that many
// tokens, and false if nothing was measured yet. The wait is doubled, so that few requests are rejected after
// a long wait.
func (workload *workload) startDelay(tokens float64) (time.Duration, bool) {
	wait, known := workload.estimator.WaitTime(tokens, workload.running)
	return 2*wait + workload.estimator.TimeToFirstByte(), known
}

// idle reports whether the workload has no requests and no monitor.
func (workload *workload) idle() bool {
	return workload.waiting() == 0 && workload.running == 0 && !workload.monitored
}
