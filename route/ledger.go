package route

import "time"

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
	// touched is the time of the last change, for pruning.
	touched time.Time
}

// load estimates the load from the newer of two reports and what was sent since.
func (ledger *ledger) load(candidate *Candidate) int {
	if ledger == nil {
		return candidate.Running + candidate.Waiting
	}
	report, at := candidate.Running+candidate.Waiting, candidate.Reported
	if ledger.reported.After(at) {
		report, at = ledger.running+ledger.waiting, ledger.reported
	}
	return max(len(ledger.sent), report+ledger.sentAfter(at))
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
	return len(ledger.sent) == 0 && ledger.health.failures == 0
}
