package dispatch

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// suspectWait estimates how long a suspect waits behind the given number of running or waiting suspects. Each
// upstream of this data centre runs one of them at a time. The wait is doubled as in startDelay, since equal
// affinities load the upstreams unevenly. It returns zero if nothing was measured. The mutex must be held.
func (workload *workload) suspectWait(before, upstreams int) time.Duration {
	rounds := float64(before) / float64(max(upstreams, 1))
	return time.Duration(2 * rounds * float64(workload.estimator.ServiceTime()))
}

// suspectUpstreams returns the number of upstreams that run suspects: those of this data centre, or the remote
// ones if there are none.
func (snapshot Snapshot) suspectUpstreams() int {
	if len(snapshot.Local) > 0 {
		return len(snapshot.Local)
	}
	return len(snapshot.Remote)
}

// rejectLateSuspects rejects the waiting suspects that would start after their deadline. The mutex must be
// held.
func (dispatcher *Dispatcher) rejectLateSuspects(workload *workload, snapshot Snapshot) {
	var waiting []*entry
	workload.unordered.Each(func(next *entry) bool {
		if next.Item.requirements.Suspect {
			waiting = append(waiting, next)
		}
		return true
	})
	slices.SortStableFunc(waiting, func(a, b *entry) int { return a.Deadline.Compare(b.Deadline) })
	now, before := dispatcher.clock.Now(), workload.suspects
	for _, next := range waiting {
		suspectWait := workload.suspectWait(before, snapshot.suspectUpstreams())
		if !now.Add(suspectWait).After(next.Deadline) {
			before++
			continue
		}
		workload.unordered.Remove(next)
		dispatcher.leaveQueue(workload, next)
		next.Item.granted <- grant{failure: suspectFailure(suspectWait)}
	}
}

// refuseIfBusy returns the refusal of a suspect that would have to wait beyond its deadline for the suspect of
// another daemon, or nil.
func (dispatcher *Dispatcher) refuseIfBusy(workload *workload, req *request.Request) *outcome.Error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	suspectWait := workload.suspectWait(1, 1)
	if !dispatcher.clock.Now().Add(suspectWait).After(req.Deadline) {
		return nil
	}
	return suspectFailure(suspectWait)
}

// suspectFailure rejects a suspect that would have to wait for the given time.
func suspectFailure(suspectWait time.Duration) *outcome.Error {
	return outcome.New(outcome.DeadlineUnmeetable, "too many requests wait to run alone after a crash").WithRetryAfter(max(suspectWait, minRetryAfter))
}
