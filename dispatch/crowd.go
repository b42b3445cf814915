package dispatch

import (
	"slices"
	"time"

	"github.com/bronzestall/bronzestall/outcome"
	"github.com/bronzestall/bronzestall/request"
)

// turn estimates the time until a suspect begins that many suspects run or wait before. Each upstream of
// this data centre runs one of them at a time. The wait is doubled as in begin, since equal affinities
// load the upstreams unevenly. It returns zero if nothing was measured. The mutex is held.
func (lane *lane) turn(before, upstreams int) time.Duration {
	rounds := float64(before) / float64(max(upstreams, 1))
	return time.Duration(2 * rounds * float64(lane.rate.Hold()))
}

// alone returns the number of upstreams that run suspects: those of this data centre, or the others if it
// has none.
func (snapshot Snapshot) alone() int {
	if len(snapshot.Local) > 0 {
		return len(snapshot.Local)
	}
	return len(snapshot.Remote)
}

// giveUpSuspects answers the waiting suspects whose turn comes after their deadline. The mutex is held.
func (dispatcher *Dispatcher) giveUpSuspects(lane *lane, snapshot Snapshot) {
	var waiting []*entry
	lane.special.Each(func(next *entry) bool {
		if next.Item.ask.Suspect {
			waiting = append(waiting, next)
		}
		return true
	})
	slices.SortStableFunc(waiting, func(a, b *entry) int { return a.Deadline.Compare(b.Deadline) })
	now, before := dispatcher.clock.Now(), lane.suspects
	for _, next := range waiting {
		turn := lane.turn(before, snapshot.alone())
		if !now.Add(turn).After(next.Deadline) {
			before++
			continue
		}
		lane.special.Remove(next)
		dispatcher.leaveQueue(lane, next)
		next.Item.granted <- grant{failure: crowdedOut(turn)}
	}
}

// crowded returns the refusal of a suspect whose upstream is held by one of another daemon for longer
// than it can wait, or nil.
func (dispatcher *Dispatcher) crowded(lane *lane, req *request.Request) *outcome.Error {
	dispatcher.mutex.Lock()
	defer dispatcher.mutex.Unlock()
	turn := lane.turn(1, 1)
	if !dispatcher.clock.Now().Add(turn).After(req.Deadline) {
		return nil
	}
	return crowdedOut(turn)
}

// crowdedOut is the refusal of a suspect whose turn would come after that time.
func crowdedOut(turn time.Duration) *outcome.Error {
	return outcome.New(outcome.DeadlineUnmeetable, "too many requests wait to run alone after a crash").WithRetryAfter(max(turn, minRetry))
}
