package route

import "time"

// staleAfter is the age from which a load report says nothing.
const staleAfter = 5 * time.Second

// ledger is what a Router knows of one upstream beside the reports.
type ledger struct {
	// sent holds the send times of the requests of this daemon that run there, in order.
	sent []time.Time
	// running and waiting are the newest report that came with an answer.
	running, waiting int
	// reported is the time of that report.
	reported time.Time
	// suspects is the number of suspects that run there; it is at most one.
	suspects int
	// health is the state of ejection.
	health health
	// leaving is the time of the first sign that the upstream leaves, or zero.
	leaving time.Time
	// touched is the time of the last change, for pruning.
	touched time.Time
}

// known returns the newer of two reports and what this daemon sent since. A report below what this
// daemon runs there is raised to it.
func (ledger *ledger) known(candidate *Candidate, now time.Time) (report, since int) {
	stale := now.Add(-staleAfter)
	report, at := candidate.Running+candidate.Waiting, candidate.Reported
	if ledger != nil && ledger.reported.After(at) {
		report, at = ledger.running+ledger.waiting, ledger.reported
	}
	if at.Before(stale) {
		report, at = 0, stale
	}
	if ledger == nil {
		return report, 0
	}
	since = ledger.sentAfter(at)
	return max(report, len(ledger.sent)-since), since
}

// sentAfter counts the running requests that were sent after the time.
func (ledger *ledger) sentAfter(at time.Time) int {
	count := 0
	for index := len(ledger.sent) - 1; index >= 0; index-- {
		if !ledger.sent[index].After(at) {
			break
		}
		count++
	}
	return count
}

// finish removes one running request that was sent at the time.
func (ledger *ledger) finish(at time.Time) {
	for index := range ledger.sent {
		if ledger.sent[index].Equal(at) {
			ledger.sent = append(ledger.sent[:index], ledger.sent[index+1:]...)
			return
		}
	}
}

// idle reports whether nothing would be lost with the ledger.
func (ledger *ledger) idle() bool {
	return len(ledger.sent) == 0 && !ledger.health.ejected
}
