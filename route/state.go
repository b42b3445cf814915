package route

import "time"

// staleAfter is the age from which a load report is ignored.
const staleAfter = 5 * time.Second

// state is the state of one upstream that a Router keeps besides the reports in the candidates.
type state struct {
	// sendTimes are the send times of this daemon's requests that are in flight there, in order.
	sendTimes []time.Time
	// running and waiting are the newest load report that came with a response.
	running, waiting int
	// reportedAt is the time of that report.
	reportedAt time.Time
	// suspects is the number of suspects that run there, at most one.
	suspects int
	// health is the ejection state.
	health health
	// leavingSince is the time at which a candidate was first seen to be leaving, or zero.
	leavingSince time.Time
	// changedAt is the time of the last change, for pruning.
	changedAt time.Time
}

// estimate returns the load of the newer of the two reports and the number of requests that this daemon has sent
// since. The load is at least the number of requests in flight that this daemon sent before the report; a stale
// report counts as zero load.
func (state *state) estimate(candidate *Candidate, now time.Time) (report, sentSince int) {
	stale := now.Add(-staleAfter)
	report, at := candidate.Running+candidate.Waiting, candidate.Reported
	if state != nil && state.reportedAt.After(at) {
		report, at = state.running+state.waiting, state.reportedAt
	}
	if at.Before(stale) {
		report, at = 0, stale
	}
	if state == nil {
		return report, 0
	}
	sentSince = state.sentAfter(at)
	return max(report, len(state.sendTimes)-sentSince), sentSince
}

// sentAfter returns the number of requests in flight that were sent after the time.
func (state *state) sentAfter(at time.Time) int {
	count := 0
	for index := len(state.sendTimes) - 1; index >= 0; index-- {
		if !state.sendTimes[index].After(at) {
			break
		}
		count++
	}
	return count
}

// finish removes one request in flight that was sent at the time.
func (state *state) finish(at time.Time) {
	for index := range state.sendTimes {
		if state.sendTimes[index].Equal(at) {
			state.sendTimes = append(state.sendTimes[:index], state.sendTimes[index+1:]...)
			return
		}
	}
}

// idle reports whether the state can be removed: nothing is in flight and the upstream is not ejected.
func (state *state) idle() bool {
	return len(state.sendTimes) == 0 && !state.health.ejected
}
