package dispatch

import (
	"context"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
	"github.com/bronzestall/bronzestall/route"
)

// admit queues the request and waits for its place.
func (dispatcher *Dispatcher) admit(ctx context.Context, req *request.Request, ask route.Ask, special bool) (*place, *outcome.Error) {
	waiting := &entry{
		Tenant:   req.Tenant,
		Share:    dispatcher.settings.Shares[req.Tenant],
		Cost:     max(req.Tokens, 1),
		Priority: req.Priority,
		Deadline: req.Deadline,
		Item:     &waiter{fingerprint: req.Fingerprint, ask: ask, special: special, granted: make(chan grant, 1)},
	}
	if ctx.Err() != nil {
		return nil, endedBefore(ctx)
	}
	lane, failure := dispatcher.push(req, waiting)
	if failure != nil {
		return nil, failure
	}
	select {
	case granted := <-waiting.Item.granted:
		return granted.place, granted.failure
	case <-ctx.Done():
		dispatcher.abandon(lane, waiting)
		return nil, endedBefore(ctx)
	}
}

// push puts the request in its lane, unless the door refuses it, and grants what can be granted.
func (dispatcher *Dispatcher) push(req *request.Request, waiting *entry) (*lane, *outcome.Error) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	snapshot, err := dispatcher.snapshot(req)
	if err != nil {
		return nil, outcome.From(err)
	}
	waiting.Item.adapterVersion = snapshot.AdapterVersion
	lane := dispatcher.lane(req)
	if failure := dispatcher.door(lane, snapshot, waiting); failure != nil {
		return nil, failure
	}
	if failure := dispatcher.enqueue(lane, waiting); failure != nil {
		return nil, failure
	}
	dispatcher.pump(lane, snapshot)
	dispatcher.report(lane)
	dispatcher.mind(lane)
	return lane, nil
}

// snapshot returns what can serve the request, or the failure of its name.
func (dispatcher *Dispatcher) snapshot(req *request.Request) (Snapshot, error) {
	if req.API == request.ServiceCall {
		return dispatcher.deps.Fleet.Service(req.Service)
	}
	return dispatcher.deps.Fleet.Replicas(req.Target)
}

// door refuses a request that cannot be served in time by what is known now. The mutex is held.
func (dispatcher *Dispatcher) door(lane *lane, snapshot Snapshot, waiting *entry) *outcome.Error {
	left := waiting.Deadline.Sub(dispatcher.clock.Now())
	if left <= 0 {
		return outcome.New(outcome.DeadlineInQueue, "the deadline passed before the request was queued")
	}
	if dispatcher.waiting >= dispatcher.settings.Total && !dispatcher.displace(waiting) {
		return outcome.New(outcome.QueueFull, "the daemon holds as many requests as it may").WithRetryAfter(dispatcher.clears(lane))
	}
	if !dispatcher.served(snapshot) {
		return dispatcher.cold(lane, left)
	}
	if waiting.Item.special || lane.queue.Len() == 0 {
		return nil
	}
	begin, known := lane.begin(lane.queue.Ahead(waiting))
	if known && begin > left {
		return unmeetable(begin - left)
	}
	return nil
}

// cold refuses a request without a replica that the forecast rules out. The mutex is held.
func (dispatcher *Dispatcher) cold(lane *lane, left time.Duration) *outcome.Error {
	if lane.target.Model == "" {
		return outcome.New(outcome.NoReplica, "no upstream of the service can be reached").WithRetryAfter(time.Second)
	}
	forecast, err := dispatcher.deps.Demand.Forecast(lane.target.Model)
	if err != nil {
		return outcome.From(err)
	}
	if forecast.Known && forecast.Ready > left {
		return outcome.New(outcome.NoReplica, "no replica can be ready before the deadline").WithRetryAfter(forecast.Ready)
	}
	return nil
}

// enqueue adds the request to its queue. The mutex is held.
func (dispatcher *Dispatcher) enqueue(lane *lane, waiting *entry) *outcome.Error {
	displaced, ok := lane.line(waiting).Push(waiting)
	if !ok {
		return outcome.New(outcome.QueueFull, "the queue of the model is full").WithRetryAfter(dispatcher.clears(lane))
	}
	dispatcher.enterQueue(waiting)
	dispatcher.notice(lane, waiting.Tenant)
	if displaced != nil {
		dispatcher.displaced(lane, displaced)
	}
	return nil
}

// clears estimates when the queue of the lane has room again. The mutex is held.
func (dispatcher *Dispatcher) clears(lane *lane) time.Duration {
	wait, known := lane.rate.Wait(lane.queue.Cost()/2, lane.running)
	if !known {
		return time.Second
	}
	return max(wait, minRetry)
}

// abandon takes a request whose caller is gone out of the queue, or gives back its place.
func (dispatcher *Dispatcher) abandon(lane *lane, waiting *entry) {
	dispatcher.mutex.Lock()
	left := waiting.Waiting()
	if left {
		lane.line(waiting).Remove(waiting)
		dispatcher.leaveQueue(lane, waiting)
		dispatcher.report(lane)
	}
	dispatcher.mutex.Unlock()
	if left {
		return
	}
	if granted := <-waiting.Item.granted; granted.place != nil {
		dispatcher.release(granted.place, false)
	}
}

// unmeetable is the refusal of a request that would be late by the time.
func unmeetable(late time.Duration) *outcome.Error {
	return outcome.New(outcome.DeadlineUnmeetable, "measured rates rule out an answer before the deadline").WithRetryAfter(max(late, minRetry))
}

// minRetry is the shortest delay that a refusal states.
const minRetry = 100 * time.Millisecond
