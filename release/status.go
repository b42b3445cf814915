package release

import "time"

// Status tells how current the state of a follower is.
type Status struct {
	// Confirmed is the time at which the platform last told the number in force; zero means never.
	Confirmed time.Time
	// Failures is the number of readings that failed since.
	Failures int
	// LastError is the last failure since, or empty.
	LastError string
}

// afterPoll returns the status afterPoll a reading at the time.
func (status Status) afterPoll(err error, now time.Time) Status {
	if err == nil {
		return Status{Confirmed: now}
	}
	return Status{Confirmed: status.Confirmed, Failures: status.Failures + 1, LastError: err.Error()}
}

// Status returns how current the state is.
func (follower *Follower) Status() Status {
	follower.mutex.Lock()
	defer follower.mutex.Unlock()
	return follower.status
}
