package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/outcome"
)

// monitorInterval is the interval at which waiting requests are checked.
const monitorInterval = 50 * time.Millisecond

// startMonitor starts the goroutine that checks the waiting requests of the workload. It ends when no request
// waits. The mutex must be held.
func (dispatcher *Dispatcher) startMonitor(workload *workload) {
	if workload.monitored || workload.waiting() == 0 {
		return
	}
	workload.monitored = true
	workload.emptied = make(chan struct{})
	go dispatcher.monitor(workload, workload.emptied)
}

// monitor updates the workload at monitorInterval and when the fleet changes, until no request waits.
func (dispatcher *Dispatcher) monitor(workload *workload, emptied <-chan struct{}) {
	for {
		changed := dispatcher.update(workload)
		timer := dispatcher.clock.NewTimer(monitorInterval)
		select {
		case <-changed:
		case <-timer.C():
		case <-emptied:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// update rejects requests that cannot be served, grants reservations where there is room, and returns a
// channel that is closed at the next change of the fleet.
func (dispatcher *Dispatcher) update(workload *workload) (changed <-chan struct{}) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	snapshot, err := workload.lookup()
	if err != nil {
		dispatcher.rejectWaiting(workload, func(*entry) *outcome.Error { return outcome.From(err) })
	} else {
		dispatcher.grantWaiting(workload, snapshot)
		dispatcher.rejectWaiting(workload, dispatcher.rejectionReason(workload, snapshot))
		dispatcher.rejectLate(workload)
		dispatcher.rejectLateSuspects(workload, snapshot)
	}
	dispatcher.report(workload)
	return snapshot.Changed
}

// rejectionReason returns a function that returns why a waiting request must be rejected, or nil. The mutex
// must be held.
func (dispatcher *Dispatcher) rejectionReason(workload *workload, snapshot Snapshot) func(*entry) *outcome.Error {
	now := dispatcher.clock.Now()
	return func(waiting *entry) *outcome.Error {
		left := waiting.Deadline.Sub(now)
		if left <= 0 {
			return outcome.New(outcome.DeadlineInQueue, "the deadline passed in the queue").WithRetryAfter(dispatcher.timeUntilRoom(workload))
		}
		if !dispatcher.canServe(snapshot) {
			return dispatcher.checkForecast(workload, left)
		}
		return dispatcher.quarantineFailure(waiting.Item.fingerprint)
	}
}

// rejectLate rejects the waiting requests that cannot start before their deadline by the measured rates. The
// mutex must be held.
func (dispatcher *Dispatcher) rejectLate(workload *workload) {
	now := dispatcher.clock.Now()
	late := func(waiting *entry, tokens float64) bool {
		startDelay, known := workload.startDelay(tokens)
		return known && now.Add(startDelay).After(waiting.Deadline)
	}
	failure := unmeetableFailure(dispatcher.timeUntilRoom(workload))
	for _, waiting := range workload.queue.FindLate(late) {
		workload.queue.Remove(waiting)
		dispatcher.leaveQueue(workload, waiting)
		waiting.Item.granted <- grant{failure: failure}
	}
}

// rejectWaiting rejects the waiting requests for which why returns a failure. The mutex must be held.
func (dispatcher *Dispatcher) rejectWaiting(workload *workload, why func(*entry) *outcome.Error) {
	failures := map[*entry]*outcome.Error{}
	collect := func(waiting *entry) bool {
		if failure := why(waiting); failure != nil {
			failures[waiting] = failure
		}
		return true
	}
	workload.queue.Each(collect)
	workload.unordered.Each(collect)
	for waiting, failure := range failures {
		workload.queueOf(waiting).Remove(waiting)
		dispatcher.leaveQueue(workload, waiting)
		waiting.Item.granted <- grant{failure: failure}
	}
}
