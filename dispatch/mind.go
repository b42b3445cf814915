package dispatch

import (
	"time"

	"github.com/bronzestall/bronzestall/outcome"
)

// mindEvery is the interval at which waiting requests are looked after.
const mindEvery = 50 * time.Millisecond

// mind starts the goroutine that looks after the waiting requests of the lane. It ends with the
// last of them. The mutex is held.
func (dispatcher *Dispatcher) mind(lane *lane) {
	if lane.minded || lane.waiting() == 0 {
		return
	}
	lane.minded = true
	lane.emptied = make(chan struct{})
	go dispatcher.lookAfter(lane, lane.emptied)
}

// lookAfter wakes the lane when the fleet changes and in intervals until nothing waits.
func (dispatcher *Dispatcher) lookAfter(lane *lane, emptied <-chan struct{}) {
	for {
		changed := dispatcher.step(lane)
		timer := dispatcher.clock.NewTimer(mindEvery)
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

// step answers what is given up, grants what has room and returns what tells of the next change.
func (dispatcher *Dispatcher) step(lane *lane) (changed <-chan struct{}) {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	snapshot, err := lane.look()
	if err != nil {
		dispatcher.giveUp(lane, func(*entry) *outcome.Error { return outcome.From(err) })
	} else {
		dispatcher.pump(lane, snapshot)
		dispatcher.giveUp(lane, dispatcher.hopeless(lane, snapshot))
		dispatcher.giveUpLate(lane)
		dispatcher.giveUpSuspects(lane, snapshot)
	}
	dispatcher.report(lane)
	return snapshot.Changed
}

// hopeless returns a function that tells why a waiting request is given up, or nil. The mutex is held.
func (dispatcher *Dispatcher) hopeless(lane *lane, snapshot Snapshot) func(*entry) *outcome.Error {
	now := dispatcher.clock.Now()
	return func(waiting *entry) *outcome.Error {
		left := waiting.Deadline.Sub(now)
		if left <= 0 {
			return outcome.New(outcome.DeadlineInQueue, "the deadline passed in the queue").WithRetryAfter(dispatcher.clears(lane))
		}
		if !dispatcher.served(snapshot) {
			return dispatcher.cold(lane, left)
		}
		return dispatcher.quarantined(waiting.Item.fingerprint)
	}
}

// giveUpLate answers the waiting requests that measured rates no longer let begin in time. The mutex is held.
func (dispatcher *Dispatcher) giveUpLate(lane *lane) {
	now := dispatcher.clock.Now()
	late := func(waiting *entry, tokens float64) bool {
		begin, known := lane.begin(tokens)
		return known && now.Add(begin).After(waiting.Deadline)
	}
	failure := unmeetable(dispatcher.clears(lane))
	for _, waiting := range lane.queue.Hopeless(late) {
		lane.queue.Remove(waiting)
		dispatcher.leaveQueue(lane, waiting)
		waiting.Item.granted <- grant{failure: failure}
	}
}

// giveUp removes the waiting requests for which why returns a failure and answers them. The mutex is held.
func (dispatcher *Dispatcher) giveUp(lane *lane, why func(*entry) *outcome.Error) {
	failures := map[*entry]*outcome.Error{}
	collect := func(waiting *entry) bool {
		if failure := why(waiting); failure != nil {
			failures[waiting] = failure
		}
		return true
	}
	lane.queue.Each(collect)
	lane.special.Each(collect)
	for waiting, failure := range failures {
		lane.line(waiting).Remove(waiting)
		dispatcher.leaveQueue(lane, waiting)
		waiting.Item.granted <- grant{failure: failure}
	}
}
