package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
)

// admit queues the request and waits until it is granted a reservation, is rejected or ctx ends.
func (dispatcher *Dispatcher) admit(ctx context.Context, req *request.Request, requirements route.Requirements, unordered bool) (*reservation, *outcome.Error) {
	waiting := &entry{
		Tenant:   req.Tenant,
		Share:    dispatcher.settings.Shares[req.Tenant],
		Cost:     max(req.Tokens, 1),
		Priority: req.Priority,
		Deadline: req.Deadline,
		Item:     &waiter{fingerprint: req.Fingerprint, requirements: requirements, unordered: unordered, granted: make(chan grant, 1)},
	}
	if ctx.Err() != nil {
		return nil, notSentFailure(ctx)
	}
	workload, failure := dispatcher.push(req, waiting)
	if failure != nil {
		return nil, failure
	}
	select {
	case granted := <-waiting.Item.granted:
		return granted.reservation, granted.failure
	case <-ctx.Done():
		dispatcher.abandon(workload, waiting)
		return nil, notSentFailure(ctx)
	}
}

// push runs the admission check, queues the request and grants reservations that are possible now.
func (dispatcher *Dispatcher) push(req *request.Request, waiting *entry) (*workload, *outcome.Error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	snapshot, err := dispatcher.snapshot(req)
	if err != nil {
		return nil, outcome.From(err)
	}
	waiting.Item.adapterVersion = snapshot.AdapterVersion
	workload := dispatcher.workload(req)
	if failure := dispatcher.checkAdmission(workload, snapshot, waiting); failure != nil {
		return nil, failure
	}
	if failure := dispatcher.enqueue(workload, waiting); failure != nil {
		return nil, failure
	}
	dispatcher.grantWaiting(workload, snapshot)
	dispatcher.report(workload)
	dispatcher.startMonitor(workload)
	return workload, nil
}

// snapshot returns the candidates for the request, or the error for its target or service.
func (dispatcher *Dispatcher) snapshot(req *request.Request) (Snapshot, error) {
	if req.API == request.ServiceCall {
		return dispatcher.deps.Fleet.Service(req.Service)
	}
	return dispatcher.deps.Fleet.Replicas(req.Target)
}

// checkAdmission rejects a request that cannot be served before its deadline by the current estimates, or that
// exceeds the limit of the daemon. The mutex must be held.
func (dispatcher *Dispatcher) checkAdmission(workload *workload, snapshot Snapshot, waiting *entry) *outcome.Error {
	left := waiting.Deadline.Sub(dispatcher.clock.Now())
	if left <= 0 {
		return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the request was queued")
	}
	if dispatcher.waiting >= dispatcher.settings.Total && !dispatcher.displace(waiting) {
		return outcome.New(outcome.QueueFull, "the daemon holds as many requests as it may").WithRetryAfter(dispatcher.timeUntilRoom(workload))
	}
	if !dispatcher.canServe(snapshot) {
		return dispatcher.checkForecast(workload, left)
	}
	if waiting.Item.unordered || workload.queue.Len() == 0 {
		return nil
	}
	startDelay, known := workload.startDelay(workload.queue.TokensAhead(waiting))
	if known && startDelay > left {
		return unmeetableFailure(startDelay - left)
	}
	return nil
}

// checkForecast rejects a request for a model without a replica if the forecast shows that none will be ready
// in time. The mutex must be held.
func (dispatcher *Dispatcher) checkForecast(workload *workload, left time.Duration) *outcome.Error {
	if workload.target.Model == "" {
		return outcome.New(outcome.NoReplica, "no upstream of the service can be reached").WithRetryAfter(time.Second)
	}
	forecast, err := dispatcher.deps.Demand.Forecast(workload.target.Model)
	if err != nil {
		return outcome.From(err)
	}
	if forecast.Known && forecast.ReadyIn > left {
		return outcome.New(outcome.NoReplica, "no replica can be ready before the deadline").WithRetryAfter(forecast.ReadyIn)
	}
	return nil
}

// enqueue adds the request to its queue. The mutex must be held.
func (dispatcher *Dispatcher) enqueue(workload *workload, waiting *entry) *outcome.Error {
	displaced, ok := workload.queueOf(waiting).Push(waiting)
	if !ok {
		return outcome.New(outcome.QueueFull, "the queue of the model is full").WithRetryAfter(dispatcher.timeUntilRoom(workload))
	}
	dispatcher.enterQueue(waiting)
	dispatcher.recordDemand(workload, waiting.Tenant)
	if displaced != nil {
		dispatcher.rejectDisplaced(workload, displaced)
	}
	return nil
}

// timeUntilRoom estimates when half of the waiting cost has left the queue. The mutex must be held.
func (dispatcher *Dispatcher) timeUntilRoom(workload *workload) time.Duration {
	wait, known := workload.estimator.WaitTime(workload.queue.Cost()/2, workload.running)
	if !known {
		return time.Second
	}
	return max(wait, minRetryAfter)
}

// abandon removes from the queue a request whose caller has disconnected, or releases its reservation if it
// was granted one meanwhile.
func (dispatcher *Dispatcher) abandon(workload *workload, waiting *entry) {
	dispatcher.mutex.Lock()
	removed := waiting.Waiting()
	if removed {
		workload.queueOf(waiting).Remove(waiting)
		dispatcher.leaveQueue(workload, waiting)
		dispatcher.report(workload)
	}
	dispatcher.mutex.Unlock()
	if removed {
		return
	}
	if granted := <-waiting.Item.granted; granted.reservation != nil {
		dispatcher.release(granted.reservation, false)
	}
}

// unmeetableFailure rejects a request that would miss its deadline by late.
func unmeetableFailure(late time.Duration) *outcome.Error {
	return outcome.New(outcome.DeadlineUnmeetable, "measured rates rule out an answer before the deadline").WithRetryAfter(max(late, minRetryAfter))
}

// minRetryAfter is the shortest Retry-After delay of a failure.
const minRetryAfter = 100 * time.Millisecond
